/**
 * Claims of non-idempotent requests, so that each runs at most once over all daemons.
 */
@NullMarked
package org.masticshelf.control.claim;

import org.jspecify.annotations.NullMarked;
