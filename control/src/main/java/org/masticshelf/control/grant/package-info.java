/**
 * Implements the grants of organisations over all daemons: the keeper that gives out
 * tokens and the client that spends them.
 */
@NullMarked
package org.masticshelf.control.grant;

import org.jspecify.annotations.NullMarked;
