/**
 * Failure tests of the list of instances.
 */
@NullMarked
package org.masticshelf.adapters.instancelist;

import org.jspecify.annotations.NullMarked;
