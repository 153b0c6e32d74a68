/**
 * Adapters of the kernel's ports to published protocols.
 */
@NullMarked
package org.masticshelf.adapters;

import org.jspecify.annotations.NullMarked;
