package org.masticshelf.control.configuration;

/**
 * The keys of the key-value service that hold the configuration.
 * <p>
 * Stateless.
 */
final class ConfigurationKeys {

	/** The newest head. */
	static final String HEAD = "masticshelf/configuration/head";

	/** The manifest of the newest head. */
	static final String MANIFEST = "masticshelf/configuration/manifest";

	/** Precedes the digest of a page. */
	static final String PAGE_PREFIX = "masticshelf/configuration/page/";

	/** Precedes the slots that keep the latest heads. */
	static final String HISTORY_PREFIX = "masticshelf/configuration/history/";

	/** How many heads are kept. */
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
	 * Returns the key that keeps the head of a revision until it is reused.
	 * @param revision the revision
	 * @return the key
	 */
	static String historyKey(long revision) {
		return HISTORY_PREFIX + (revision % HISTORY_LENGTH);
	}

}
