/**
 * Tests of the stand-ins' command line.
 */
@NullMarked
package org.masticshelf.standins;

import org.jspecify.annotations.NullMarked;
