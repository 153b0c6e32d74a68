/**
 * Failure tests of placement, in one process with a manual clock.
 */
@NullMarked
package org.masticshelf.control.placement;

import org.jspecify.annotations.NullMarked;
