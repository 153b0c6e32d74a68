/**
 * Refusals: what a caller is told when its request gets no whole answer.
 */
@NullMarked
package org.masticshelf.kernel.refusal;

import org.jspecify.annotations.NullMarked;
