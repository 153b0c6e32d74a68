/**
 * The choice of an endpoint for a request.
 */
@NullMarked
package org.masticshelf.kernel.routing;

import org.jspecify.annotations.NullMarked;
