/**
 * Structured logs through Flogger.
 */
@NullMarked
package org.masticshelf.transport.log;

import org.jspecify.annotations.NullMarked;
