/**
 * Which daemons run and which instances stay.
 */
@NullMarked
package org.masticshelf.control.membership;

import org.jspecify.annotations.NullMarked;
