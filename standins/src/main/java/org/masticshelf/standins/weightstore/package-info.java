/**
 * A rate-limited weight store for tests.
 */
@NullMarked
package org.masticshelf.standins.weightstore;

import org.jspecify.annotations.NullMarked;
