/**
 * The key-value service over the JSON gateway of etcd, version 3.
 */
@NullMarked
package org.masticshelf.adapters.etcd;

import org.jspecify.annotations.NullMarked;
