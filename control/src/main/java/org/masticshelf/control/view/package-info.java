/**
 * Local copies of small parts of the key-value service, kept up to date by the service or
 * by peers.
 */
@NullMarked
package org.masticshelf.control.view;

import org.jspecify.annotations.NullMarked;
