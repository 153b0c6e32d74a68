/**
 * Contract tests of the engine stand-in.
 */
@NullMarked
package org.masticshelf.standins.engine;

import org.jspecify.annotations.NullMarked;
