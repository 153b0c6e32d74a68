/**
 * Small stand-ins of the outside systems.
 */
@NullMarked
package org.masticshelf.standins;

import org.jspecify.annotations.NullMarked;
