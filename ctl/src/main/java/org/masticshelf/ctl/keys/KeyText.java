package org.masticshelf.ctl.keys;

import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.beust.jcommander.ParameterException;

import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Texts that the commands on keys read and write.
 * <p>
 * Stateless and safe for use by several threads.
 */
final class KeyText {

	private static final int KEY_BYTES = 32;

	private static final Pattern LIFE = Pattern.compile("([1-9][0-9]{0,5})([smhd])");

	private KeyText() {
	}

	/**
	 * Makes a new key.
	 * @param random the source of randomness
	 * @return the key
	 */
	static String newKey(SecureRandom random) {
		byte[] bytes = new byte[KEY_BYTES];
		random.nextBytes(bytes);
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
	}

	/**
	 * Parses how long a key lives.
	 * @param text a number and one of {@code s}, {@code m}, {@code h} and {@code d}
	 * @return the life
	 * @throws ParameterException if the text has another form
	 */
	static Duration life(String text) {
		Matcher matcher = LIFE.matcher(text);
		if (!matcher.matches()) {
			throw new ParameterException("'" + text + "' is not of the form 90s, 30m, 12h or 30d");
		}
		long number = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "s" -> Duration.ofSeconds(number);
			case "m" -> Duration.ofMinutes(number);
			case "h" -> Duration.ofHours(number);
			default -> Duration.ofDays(number);
		};
	}

	/**
	 * Parses the name of an organisation.
	 * @param text the text
	 * @return the name
	 * @throws ParameterException if the text has another form
	 */
	static QualifiedName organisation(String text) {
		try {
			return QualifiedName.of(text);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Renders a key's digest and state.
	 * @param key the key
	 * @param now the time of day
	 * @return one line
	 */
	static String line(OrganisationKey key, Instant now) {
		return key.digest() + " " + key.organisation() + " " + state(key, now);
	}

	private static String state(OrganisationKey key, Instant now) {
		if (key.withdrawn()) {
			return "withdrawn";
		}
		if (key.expiresAtEpochSeconds() == 0) {
			return "valid";
		}
		Instant end = Instant.ofEpochSecond(key.expiresAtEpochSeconds());
		return end.isAfter(now) ? "valid until " + end : "expired at " + end;
	}

}
