/**
 * HTTP client on virtual threads, and JSON server on Undertow.
 */
@NullMarked
package org.masticshelf.transport.http;

import org.jspecify.annotations.NullMarked;
