/**
 * Contract and failure tests of the key-value port.
 */
@NullMarked
package org.masticshelf.adapters.etcd;

import org.jspecify.annotations.NullMarked;
