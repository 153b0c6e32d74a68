/**
 * Decides which endpoint loads and unloads what, as pure functions of state and time.
 */
@NullMarked
package org.masticshelf.kernel.placement;

import org.jspecify.annotations.NullMarked;
