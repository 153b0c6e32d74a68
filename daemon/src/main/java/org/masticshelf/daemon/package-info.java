/**
 * The daemon that runs on an entry instance.
 */
@NullMarked
package org.masticshelf.daemon;

import org.jspecify.annotations.NullMarked;
