/**
 * Reads and validates JSON settings files.
 */
@NullMarked
package org.masticshelf.transport.settings;

import org.jspecify.annotations.NullMarked;
