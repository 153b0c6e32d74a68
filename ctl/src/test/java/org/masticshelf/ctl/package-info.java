/**
 * Tests of the operators' tool.
 */
@NullMarked
package org.masticshelf.ctl;

import org.jspecify.annotations.NullMarked;
