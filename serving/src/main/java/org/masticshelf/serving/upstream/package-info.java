/**
 * HTTP/1.1 exchanges with endpoints, in which the forwarder sees every byte.
 */
@NullMarked
package org.masticshelf.serving.upstream;

import org.jspecify.annotations.NullMarked;
