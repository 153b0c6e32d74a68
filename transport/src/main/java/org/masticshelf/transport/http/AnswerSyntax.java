package org.masticshelf.transport.http;

import org.masticshelf.kernel.serving.ServedRequest.Header;

/**
 * Parses the lines of an HTTP/1.1 answer other than its body.
 * <p>
 * A line that RFC 9110 and RFC 9112 do not allow is refused, also where a recipient may
 * repair it: a byte that was spoilt once leaves no part of the answer to be trusted. The
 * only exception is whitespace between the name of a header and its colon, which a proxy
 * has to remove. Stateless and safe for use by several threads.
 */
final class AnswerSyntax {

	private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

	private static final int STATUS_START = "HTTP/1.1 ".length();

	private static final int STATUS_END = STATUS_START + 3;

	private static final int MINIMUM_STATUS = 100;

	private static final int MAXIMUM_STATUS = 599;

	private static final int MAXIMUM_CHUNK_LENGTH_DIGITS = 8;

	private static final int MAXIMUM_KEEP_ALIVE_DIGITS = 5;

	private AnswerSyntax() {
	}

	/**
	 * Refuses a line with a control character other than a tab.
	 * @param line the line without its end
	 * @throws UpstreamException if there is one
	 */
	static void requireText(String line) throws UpstreamException {
		for (int index = 0; index < line.length(); index++) {
			char character = line.charAt(index);
			if ((character < ' ' && character != '\t') || character == 0x7f) {
				throw new UpstreamException(
						"control character 0x%02x at byte %d of a line".formatted((int) character, index));
			}
		}
	}

	/**
	 * Parses a status line.
	 * @param line the line
	 * @return the status
	 * @throws UpstreamException if it is no status line of HTTP/1.x, or the status
	 * belongs to no class that HTTP defines
	 */
	static int parseStatus(String line) throws UpstreamException {
		boolean wellFormed = line.length() >= STATUS_END && line.startsWith("HTTP/1.") && isDigit(line.charAt(7))
				&& line.charAt(STATUS_START - 1) == ' '
				&& (line.length() == STATUS_END || line.charAt(STATUS_END) == ' ');
		if (!wellFormed) {
			throw new UpstreamException("no status line");
		}
		String digits = line.substring(STATUS_START, STATUS_END);
		int status = isNumber(digits) ? Integer.parseInt(digits) : 0;
		if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
			throw new UpstreamException("status " + digits + " is not defined");
		}
		return status;
	}

	/**
	 * Parses the line of a header or trailer.
	 * @param line the line
	 * @return the header
	 * @throws UpstreamException if the name is no token
	 */
	static Header parseHeader(String line) throws UpstreamException {
		int colon = line.indexOf(':');
		if (colon < 0) {
			throw new UpstreamException("header without a colon");
		}
		int end = colon;
		while (end > 0 && isWhitespace(line.charAt(end - 1))) {
			end--;
		}
		String name = line.substring(0, end);
		for (int index = 0; index < end; index++) {
			if (!isTokenCharacter(name.charAt(index))) {
				throw new UpstreamException("character 0x%02x at byte %d of the name of a header"
					.formatted((int) name.charAt(index), index));
			}
		}
		if (name.isEmpty()) {
			throw new UpstreamException("header without a name");
		}
		// Whitespace is all that may still be stripped: a line has no control characters.
		return new Header(name, line.substring(colon + 1).strip());
	}

	/**
	 * Parses the value of a content length.
	 * @param value the value
	 * @return the length in bytes
	 * @throws UpstreamException if it is no length
	 */
	static long parseLength(String value) throws UpstreamException {
		try {
			if (isNumber(value)) {
				return Long.parseLong(value);
			}
		}
		catch (NumberFormatException ex) {
			throw new UpstreamException("length of " + value.length() + " digits", ex);
		}
		throw new UpstreamException("malformed length");
	}

	/**
	 * Parses the first line of a chunk, whose extensions are ignored.
	 * @param line the line
	 * @return the length in bytes
	 * @throws UpstreamException if it does not begin with a length
	 */
	static long parseChunkLength(String line) throws UpstreamException {
		int end = line.indexOf(';');
		String digits = ((end < 0) ? line : line.substring(0, end)).strip();
		boolean wellFormed = !digits.isEmpty() && digits.length() <= MAXIMUM_CHUNK_LENGTH_DIGITS
				&& digits.chars().allMatch((character) -> character < 0x80 && Character.digit(character, 16) >= 0);
		if (!wellFormed) {
			throw new UpstreamException("malformed length of a chunk");
		}
		return Long.parseLong(digits, 16);
	}

	/**
	 * Finds the timeout in the value of a keep-alive header.
	 * @param value the value
	 * @return the timeout in seconds, negative if there is none
	 */
	static int parseKeepAlive(String value) {
		for (String part : value.split(",")) {
			String[] pair = part.strip().split("=", 2);
			if (pair.length == 2 && pair[0].strip().equalsIgnoreCase("timeout")) {
				String seconds = pair[1].strip();
				if (isNumber(seconds) && seconds.length() <= MAXIMUM_KEEP_ALIVE_DIGITS) {
					return Integer.parseInt(seconds);
				}
			}
		}
		return -1;
	}

	private static boolean isWhitespace(char character) {
		return character == ' ' || character == '\t';
	}

	private static boolean isNumber(String text) {
		return !text.isEmpty() && text.chars().allMatch(AnswerSyntax::isDigit);
	}

	private static boolean isDigit(int character) {
		return character >= '0' && character <= '9';
	}

	private static boolean isTokenCharacter(char character) {
		return isDigit(character) || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| TOKEN_PUNCTUATION.indexOf(character) >= 0;
	}

}
