/**
 * Tests of the listener for callers against stand-ins.
 */
@NullMarked
package org.masticshelf.daemon.caller;

import org.jspecify.annotations.NullMarked;
