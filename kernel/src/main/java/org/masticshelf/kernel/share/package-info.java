/**
 * Limits how much of an organisation's grant a daemon may spend, based on the spending
 * that all daemons report to each other.
 */
@NullMarked
package org.masticshelf.kernel.share;

import org.jspecify.annotations.NullMarked;
