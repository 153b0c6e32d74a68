/**
 * Requests from their arrival to their answer.
 */
@NullMarked
package org.masticshelf.daemon.request;

import org.jspecify.annotations.NullMarked;
