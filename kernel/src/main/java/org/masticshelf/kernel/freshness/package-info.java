/**
 * Decides how far a daemon may trust its knowledge of withdrawn keys.
 */
@NullMarked
package org.masticshelf.kernel.freshness;

import org.jspecify.annotations.NullMarked;
