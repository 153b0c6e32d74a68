/**
 * Plain HTTP services.
 */
@NullMarked
package org.masticshelf.adapters.plain;

import org.jspecify.annotations.NullMarked;
