/**
 * Decides for which organisation a request runs and whether it may use its route.
 */
@NullMarked
package org.masticshelf.kernel.access;

import org.jspecify.annotations.NullMarked;
