/**
 * Tests of what daemons tell the tool.
 */
@NullMarked
package org.masticshelf.ctl.fleet;

import org.jspecify.annotations.NullMarked;
