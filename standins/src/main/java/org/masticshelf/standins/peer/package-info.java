/**
 * Stand-in for the network between daemons.
 */
@NullMarked
package org.masticshelf.standins.peer;

import org.jspecify.annotations.NullMarked;
