/**
 * The serving daemon, which forwards requests byte for byte between callers and
 * endpoints, and decides together with its peers which models engines hold.
 */
@NullMarked
package org.masticshelf.serving;

import org.jspecify.annotations.NullMarked;
