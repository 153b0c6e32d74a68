/**
 * Distribution of the configuration to daemons, and the freshness of what they know.
 */
@NullMarked
package org.masticshelf.control.configuration;

import org.jspecify.annotations.NullMarked;
