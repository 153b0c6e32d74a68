/**
 * The operators' tables and organisation keys as immutable values.
 */
@NullMarked
package org.masticshelf.kernel.configuration;

import org.jspecify.annotations.NullMarked;
