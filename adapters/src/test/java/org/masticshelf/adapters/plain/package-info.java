/**
 * Contract tests of the plain adapter.
 */
@NullMarked
package org.masticshelf.adapters.plain;

import org.jspecify.annotations.NullMarked;
