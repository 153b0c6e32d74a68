package org.masticshelf.kernel.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedTables;

/**
 * Identifies requests that are equal in method, host, target, caller and body.
 * <p>
 * Designed to be passed on and logged: a truncated digest over all of these, from which
 * the caller's key cannot be told. Headers are left out, since a repeated request has
 * other ones. Invariant: a fingerprint of a request begins with a character that no
 * segment of a prompt contains. Stateless and thread-safe.
 */
public final class RequestFingerprint {

	private static final String MARK = ":";

	private static final int DIGEST_BYTES = 12;

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint of a request. Reads its whole body.
	 * @param request the request
	 * @return the fingerprint
	 */
	public static String of(ServedRequest request) {
		MessageDigest digest = sha256();
		addField(digest, encode(request.method()));
		addField(digest, encode(ServedTables.hostName(request.host())));
		addField(digest, encode(request.target()));
		addField(digest, encode(request.key()));
		addField(digest, request.body());
		byte[] truncated = Arrays.copyOf(digest.digest(), DIGEST_BYTES);
		return MARK + Base64.getUrlEncoder().withoutPadding().encodeToString(truncated);
	}

	/**
	 * Returns whether a fingerprint identifies whole requests, rather than a segment that
	 * different requests may hold.
	 * @param fingerprint the fingerprint
	 * @return whether it does
	 */
	public static boolean isOfWholeRequest(String fingerprint) {
		return fingerprint.startsWith(MARK);
	}

	private static byte @Nullable [] encode(@Nullable String text) {
		return (text != null) ? text.getBytes(StandardCharsets.UTF_8) : null;
	}

	// The length ahead of each field keeps different requests from having equal bytes.
	private static void addField(MessageDigest digest, byte @Nullable [] field) {
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt((field != null) ? field.length : -1).array());
		if (field != null) {
			digest.update(field);
		}
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

}
