/**
 * The platform's list of instances as JSON over HTTP.
 */
@NullMarked
package org.masticshelf.adapters.instancelist;

import org.jspecify.annotations.NullMarked;
