/**
 * A model engine for tests: deterministic tokens, own count of memory, faults on demand.
 */
@NullMarked
package org.masticshelf.standins.engine;

import org.jspecify.annotations.NullMarked;
