package org.masticshelf.kernel.configuration;

import java.util.regex.Pattern;

/**
 * Recognises addresses that need no name service: an IP address and a port.
 * <p>
 * Stateless and therefore safe for use by several threads.
 */
final class SocketAddressSyntax {

	private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern VERSION_4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

	private static final Pattern VERSION_6 = Pattern.compile("\\[[0-9a-fA-F:]{2,39}]");

	private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");

	private static final int HIGHEST_PORT = 65_535;

	private SocketAddressSyntax() {
	}

	/**
	 * Returns whether a text is an IP address and a port.
	 * @param text for example {@code 127.0.0.1:9001} or {@code [::1]:9001}
	 * @return whether it has the form and the port exists
	 */
	static boolean isIpAddressAndPort(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			return false;
		}
		String host = text.substring(0, colon);
		String port = text.substring(colon + 1);
		boolean hostFits = VERSION_4.matcher(host).matches() || VERSION_6.matcher(host).matches();
		return hostFits && PORT.matcher(port).matches() && Integer.parseInt(port) <= HIGHEST_PORT;
	}

}
