/**
 * What one daemon adds to requests.
 */
@NullMarked
package org.masticshelf.bench.path;

import org.jspecify.annotations.NullMarked;
