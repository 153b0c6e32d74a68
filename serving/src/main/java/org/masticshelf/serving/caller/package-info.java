/**
 * HTTP exchanges with callers.
 */
@NullMarked
package org.masticshelf.serving.caller;

import org.jspecify.annotations.NullMarked;
