/**
 * Measures what daemons spend on agreeing about configuration, duties and members.
 */
@NullMarked
package org.masticshelf.bench.control;

import org.jspecify.annotations.NullMarked;
