/**
 * Plans which endpoint loads and unloads which models and adapters, as pure functions of
 * state and time.
 */
@NullMarked
package org.masticshelf.kernel.placement;

import org.jspecify.annotations.NullMarked;
