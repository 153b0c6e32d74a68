/**
 * Contract tests of the engine adapter.
 */
@NullMarked
package org.masticshelf.adapters.engine;

import org.jspecify.annotations.NullMarked;
