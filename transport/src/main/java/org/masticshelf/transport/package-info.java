/**
 * HTTP transport on Undertow, JSON encoding, settings files and event logs.
 */
@NullMarked
package org.masticshelf.transport;

import org.jspecify.annotations.NullMarked;
