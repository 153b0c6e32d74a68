/**
 * The organisations' grants, which all daemons share.
 */
@NullMarked
package org.masticshelf.serving.grant;

import org.jspecify.annotations.NullMarked;
