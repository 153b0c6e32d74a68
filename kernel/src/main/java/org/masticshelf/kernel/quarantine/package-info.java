/**
 * Decisions on segments of prompts that crash the endpoints that answer them.
 */
@NullMarked
package org.masticshelf.kernel.quarantine;

import org.jspecify.annotations.NullMarked;
