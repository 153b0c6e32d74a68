/**
 * Settings of the daemon.
 */
@NullMarked
package org.masticshelf.daemon.settings;

import org.jspecify.annotations.NullMarked;
