/**
 * Structured log events of one key=value line each.
 */
@NullMarked
package org.masticshelf.kernel.event;

import org.jspecify.annotations.NullMarked;
