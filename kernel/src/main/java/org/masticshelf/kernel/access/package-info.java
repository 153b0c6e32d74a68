/**
 * Which organisation a request runs for, and whether it may.
 */
@NullMarked
package org.masticshelf.kernel.access;

import org.jspecify.annotations.NullMarked;
