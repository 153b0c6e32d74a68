/**
 * Placement carried out: intents in the key-value service, orders to endpoints, and what
 * daemons tell the placing daemon and learn from it.
 */
@NullMarked
package org.masticshelf.control.placement;

import org.jspecify.annotations.NullMarked;
