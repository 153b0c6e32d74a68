package org.masticshelf.kernel.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The digest of a key and the organisation that it was issued to; the key itself is never
 * kept.
 * <p>
 * Immutable.
 *
 * @param digest the SHA-256 digest of the key in hexadecimal
 * @param organisation the organisation
 * @param expiresAtEpochSeconds when the key expires, in seconds since 1970, or 0 for
 * never
 * @param withdrawn whether an operator has withdrawn the key
 */
public record OrganisationKey(String digest, QualifiedName organisation, long expiresAtEpochSeconds,
		boolean withdrawn) {

	/**
	 * Computes the digest of a key.
	 * @param key the key as the caller sent it
	 * @return the SHA-256 digest in hexadecimal
	 */
	public static String digestOf(String key) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
