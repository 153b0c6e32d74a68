/**
 * Placement of models and adapters: writes intents to the key-value service, sends orders
 * to endpoints, and exchanges demand and the view between the daemons and the holders of
 * the placement duties.
 */
@NullMarked
package org.masticshelf.control.placement;

import org.jspecify.annotations.NullMarked;
