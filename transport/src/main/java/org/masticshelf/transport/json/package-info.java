/**
 * JSON encoding and decoding.
 */
@NullMarked
package org.masticshelf.transport.json;

import org.jspecify.annotations.NullMarked;
