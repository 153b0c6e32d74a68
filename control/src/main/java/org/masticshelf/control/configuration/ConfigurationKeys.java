package org.masticshelf.control.configuration;

/**
 * The keys of the key-value service that hold the configuration.
 * <p>
 * Stateless.
 */
final class ConfigurationKeys {

	/** The key of the newest head. */
	static final String HEAD = "masticshelf/configuration/head";

	/** The key of the manifest of the newest head. */
	static final String MANIFEST = "masticshelf/configuration/manifest";

	/** The prefix of the keys of pages, followed by the digest of the page. */
	static final String PAGE_PREFIX = "masticshelf/configuration/page/";

	/** The prefix of the keys that hold the latest heads. */
	static final String HISTORY_PREFIX = "masticshelf/configuration/history/";

	/** The number of heads that are kept. */
	static final int HISTORY_LENGTH = 32;

	private ConfigurationKeys() {
	}

	/**
	 * Returns the key of a page.
	 * @param digest the digest of the page
	 * @return the key
	 */
	static String pageKey(String digest) {
		return PAGE_PREFIX + digest;
	}

	/**
	 * Returns the key that holds the head of a revision until a later revision reuses it.
	 * @param revision the revision
	 * @return the key
	 */
	static String historyKey(long revision) {
		return HISTORY_PREFIX + (revision % HISTORY_LENGTH);
	}

}
