/**
 * Decisions on requests that crash the endpoints that run them.
 */
@NullMarked
package org.masticshelf.kernel.quarantine;

import org.jspecify.annotations.NullMarked;
