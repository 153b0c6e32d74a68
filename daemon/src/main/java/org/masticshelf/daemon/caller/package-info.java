/**
 * The listener for callers.
 */
@NullMarked
package org.masticshelf.daemon.caller;

import org.jspecify.annotations.NullMarked;
