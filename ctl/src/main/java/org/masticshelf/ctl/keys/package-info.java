/**
 * Commands on the organisations' keys.
 */
@NullMarked
package org.masticshelf.ctl.keys;

import org.jspecify.annotations.NullMarked;
