/**
 * A stand-in for the platform's list of instances.
 */
@NullMarked
package org.masticshelf.standins.instancelist;

import org.jspecify.annotations.NullMarked;
