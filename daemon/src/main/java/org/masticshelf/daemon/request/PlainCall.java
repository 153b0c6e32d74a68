package org.masticshelf.daemon.request;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A caller's call to a plain service. Immutable as long as nobody writes to the body.
 *
 * @param method the HTTP method
 * @param headers the headers to pass on, none of which holds a key
 * @param body the body, empty for none
 * @param idempotencyKey the key that the caller gave to a non-idempotent request, or
 * {@code null}
 */
public record PlainCall(String method, Map<String, String> headers, byte[] body, @Nullable String idempotencyKey) {
}
