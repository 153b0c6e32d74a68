/**
 * Requests that are refused because they, or others like them, crash endpoints.
 */
@NullMarked
package org.masticshelf.serving.quarantine;

import org.jspecify.annotations.NullMarked;
