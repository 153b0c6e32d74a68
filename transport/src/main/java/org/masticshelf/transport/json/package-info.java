/**
 * The JSON codec between processes.
 */
@NullMarked
package org.masticshelf.transport.json;

import org.jspecify.annotations.NullMarked;
