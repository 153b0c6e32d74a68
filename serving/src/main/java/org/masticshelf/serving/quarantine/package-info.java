/**
 * Segments of prompts whose requests are refused because they crash endpoints.
 */
@NullMarked
package org.masticshelf.serving.quarantine;

import org.jspecify.annotations.NullMarked;
