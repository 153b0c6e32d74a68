package org.masticshelf.control.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * A non-idempotent request for which a claim is requested.
 * <p>
 * Immutable.
 *
 * @param organisation the organisation whose key came with the request, or that of the
 * workshop's callers without a key
 * @param route the route
 * @param idempotencyKey the key that the caller gave to the request
 * @param fingerprint the digest of the method, path and body, see {@link #fingerprintOf}
 * @param deadline the monotonic clock reading, in nanoseconds, by which a result is
 * required
 */
public record ClaimRequest(QualifiedName organisation, QualifiedName route, String idempotencyKey, String fingerprint,
		long deadline) {

	private static final String PREFIX = "masticshelf/claim/";

	/**
	 * Computes the fingerprint of a request.
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param body the body
	 * @return the SHA-256 digest in hexadecimal
	 */
	public static String fingerprintOf(String method, String path, byte[] body) {
		MessageDigest digest = sha256();
		update(digest, method);
		update(digest, path);
		return HexFormat.of().formatHex(digest.digest(body));
	}

	/**
	 * Returns the key under which the claim is stored in the key-value service.
	 * @return the key, which holds no part of the caller's idempotency key
	 */
	public String toStoreKey() {
		MessageDigest digest = sha256();
		update(digest, this.route.toString());
		update(digest, this.idempotencyKey);
		return PREFIX + this.organisation + "/" + HexFormat.of().formatHex(digest.digest());
	}

	private static void update(MessageDigest digest, String part) {
		digest.update(part.getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
