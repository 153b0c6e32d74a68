/**
 * Grants of organisations: the keeper's ledger, the daemon's account and their messages.
 */
@NullMarked
package org.masticshelf.kernel.grant;

import org.jspecify.annotations.NullMarked;
