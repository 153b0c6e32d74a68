/**
 * Contract tests of the plain-service stand-in.
 */
@NullMarked
package org.masticshelf.standins.plainservice;

import org.jspecify.annotations.NullMarked;
