/**
 * Decides which models and adapters engines hold, based on current demand.
 */
@NullMarked
package org.masticshelf.kernel.residency;

import org.jspecify.annotations.NullMarked;
