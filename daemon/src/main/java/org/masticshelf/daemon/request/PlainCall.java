package org.masticshelf.daemon.request;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A caller's call to a plain service. Immutable if the body is not modified.
 *
 * @param method the HTTP method
 * @param headers the headers to forward, none of which holds a key
 * @param body the body, empty for none
 * @param idempotencyKey the caller's idempotency key for a non-idempotent request, or
 * {@code null}
 */
public record PlainCall(String method, Map<String, String> headers, byte[] body, @Nullable String idempotencyKey) {
}
