/**
 * Asking daemons over their control listeners.
 */
@NullMarked
package org.masticshelf.ctl.fleet;

import org.jspecify.annotations.NullMarked;
