/**
 * Model engines with OpenAI-style HTTP and server-sent events.
 */
@NullMarked
package org.masticshelf.adapters.engine;

import org.jspecify.annotations.NullMarked;
