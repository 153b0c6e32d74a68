/**
 * The endpoints known to a daemon: their list, holdings, load and health.
 */
@NullMarked
package org.masticshelf.serving.endpoint;

import org.jspecify.annotations.NullMarked;
