/**
 * The configuration and state that a daemon serves from: routes, pools with their engine
 * profiles, organisations and endpoints, independent of the format in which they are
 * received.
 */
@NullMarked
package org.masticshelf.kernel.serving;

import org.jspecify.annotations.NullMarked;
