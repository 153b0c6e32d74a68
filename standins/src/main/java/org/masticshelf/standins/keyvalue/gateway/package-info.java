/**
 * The stand-in key-value service behind a subset of the JSON gateway of etcd, version 3.
 */
@NullMarked
package org.masticshelf.standins.keyvalue.gateway;

import org.jspecify.annotations.NullMarked;
