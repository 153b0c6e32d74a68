/**
 * A TCP proxy that brings about the faults of a network.
 */
@NullMarked
package org.masticshelf.standins.faultproxy;

import org.jspecify.annotations.NullMarked;
