/**
 * Commands on the operators' tables.
 */
@NullMarked
package org.masticshelf.ctl.tables;

import org.jspecify.annotations.NullMarked;
