/**
 * How daemons learn configurations and how fresh their knowledge is.
 */
@NullMarked
package org.masticshelf.control.configuration;

import org.jspecify.annotations.NullMarked;
