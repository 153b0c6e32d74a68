/**
 * Tests of placement under faults, in one process with a manual clock.
 */
@NullMarked
package org.masticshelf.control.placement;

import org.jspecify.annotations.NullMarked;
