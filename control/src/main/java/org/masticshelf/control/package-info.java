/**
 * What the daemons decide together, with input and output.
 */
@NullMarked
package org.masticshelf.control;

import org.jspecify.annotations.NullMarked;
