/**
 * Sample tables at the sizes of the two deployments.
 */
@NullMarked
package org.masticshelf.ctl.sample;

import org.jspecify.annotations.NullMarked;
