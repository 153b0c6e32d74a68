/**
 * Tests of the placement decisions.
 */
@NullMarked
package org.masticshelf.kernel.placement;

import org.jspecify.annotations.NullMarked;
