/**
 * Decides how far a daemon may trust what it knows about withdrawn keys.
 */
@NullMarked
package org.masticshelf.kernel.freshness;

import org.jspecify.annotations.NullMarked;
