/**
 * The callers' listener.
 */
@NullMarked
package org.masticshelf.daemon.caller;

import org.jspecify.annotations.NullMarked;
