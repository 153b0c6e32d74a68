/**
 * Keeping and spending the grants of organisations over all daemons.
 */
@NullMarked
package org.masticshelf.control.grant;

import org.jspecify.annotations.NullMarked;
