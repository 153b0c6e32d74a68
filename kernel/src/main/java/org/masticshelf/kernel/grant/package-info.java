/**
 * Shares the token grant of each organisation among daemons: the ledger of its keeper,
 * which is the daemon that holds the duty for the grant, the accounts of the daemons that
 * spend it, and their messages.
 */
@NullMarked
package org.masticshelf.kernel.grant;

import org.jspecify.annotations.NullMarked;
