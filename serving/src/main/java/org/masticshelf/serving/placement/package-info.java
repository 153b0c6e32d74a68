/**
 * Placement of models and adapters on engines by the daemon that holds the placement
 * duty.
 */
@NullMarked
package org.masticshelf.serving.placement;

import org.jspecify.annotations.NullMarked;
