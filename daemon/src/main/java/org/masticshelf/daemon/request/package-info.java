/**
 * Handling of requests, from their arrival to their response.
 */
@NullMarked
package org.masticshelf.daemon.request;

import org.jspecify.annotations.NullMarked;
