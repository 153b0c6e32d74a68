/**
 * The exchange of state between daemons.
 */
@NullMarked
package org.masticshelf.serving.peer;

import org.jspecify.annotations.NullMarked;
