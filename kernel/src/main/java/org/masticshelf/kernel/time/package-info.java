/**
 * Injected clocks.
 */
@NullMarked
package org.masticshelf.kernel.time;

import org.jspecify.annotations.NullMarked;
