/**
 * Tests of whole fleets: daemons as separate processes against stand-ins in the test's
 * virtual machine.
 */
@NullMarked
package org.masticshelf.systemtests;

import org.jspecify.annotations.NullMarked;
