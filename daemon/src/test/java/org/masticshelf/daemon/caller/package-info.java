/**
 * Tests of the callers' listener against stand-ins.
 */
@NullMarked
package org.masticshelf.daemon.caller;

import org.jspecify.annotations.NullMarked;
