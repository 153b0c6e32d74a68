/**
 * Membership of daemons and presence of instances: which daemons run and which instances
 * stay in service.
 */
@NullMarked
package org.masticshelf.control.membership;

import org.jspecify.annotations.NullMarked;
