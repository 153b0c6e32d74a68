/**
 * Duties that one daemon at a time holds under a lease.
 */
@NullMarked
package org.masticshelf.control.duty;

import org.jspecify.annotations.NullMarked;
