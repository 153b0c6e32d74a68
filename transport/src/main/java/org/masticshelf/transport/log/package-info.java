/**
 * Structured event logs written through Flogger and Logback.
 */
@NullMarked
package org.masticshelf.transport.log;

import org.jspecify.annotations.NullMarked;
