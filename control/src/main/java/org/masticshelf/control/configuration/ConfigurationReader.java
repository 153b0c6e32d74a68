package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Manifest;
import org.masticshelf.kernel.configuration.Page;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Reads configurations from the key-value service and returns only complete and
 * consistent ones.
 * <p>
 * Stateless and therefore safe for use by several threads.
 */
final class ConfigurationReader {

	private static final int MAXIMUM_ATTEMPTS = 4;

	private final KeyValueStore store;

	/**
	 * Creates a reader.
	 * @param store the key-value service
	 */
	ConfigurationReader(KeyValueStore store) {
		this.store = store;
	}

	/**
	 * Reads the newest head.
	 * @return the head and when it was written
	 */
	CompletableFuture<HeadEntry> readHead() {
		return this.store.get(ConfigurationKeys.HEAD).thenApply(HeadEntry::of);
	}

	/**
	 * Reads the newest configuration.
	 * @param known the manifest and pages that need not be read again
	 * @return the configuration; the future fails with a {@link KeyValueFailure} if the
	 * service is unavailable or holds nothing consistent
	 */
	CompletableFuture<StoredConfiguration> read(Known known) {
		return read(known, 1);
	}

	private CompletableFuture<StoredConfiguration> read(Known known, int attempt) {
		return readHead().thenCompose((entry) -> {
			if (entry.modifyRevision() == 0) {
				Pages none = Pages.collect(List.of());
				return CompletableFuture.completedFuture(new StoredConfiguration(Head.INITIAL, 0, none));
			}
			return readManifest(entry.head(), known).thenCompose((manifest) -> readPages(entry, manifest, known))
				.thenCompose((found) -> (found != null) ? CompletableFuture.completedFuture(found)
						: readAgain(entry, known, attempt));
		});
	}

	private CompletableFuture<StoredConfiguration> readAgain(HeadEntry entry, Known known, int attempt) {
		if (attempt >= MAXIMUM_ATTEMPTS) {
			return CompletableFuture.failedFuture(
					new KeyValueFailure("revision " + entry.head().revision() + " does not match its pages", false));
		}
		return read(known, attempt + 1);
	}

	private CompletableFuture<@Nullable Manifest> readManifest(Head head, Known known) {
		SortedMap<String, String> changed = head.changed();
		if (changed != null) {
			Manifest expected = known.manifest().withDifference(changed);
			if (expected.digest().equals(head.manifest())) {
				return CompletableFuture.completedFuture(expected);
			}
		}
		return this.store.get(ConfigurationKeys.MANIFEST).thenApply((entry) -> parseManifest(head, entry));
	}

	private CompletableFuture<@Nullable StoredConfiguration> readPages(HeadEntry entry, @Nullable Manifest manifest,
			Known known) {
		if (manifest == null) {
			return CompletableFuture.completedFuture(null);
		}
		List<CompletableFuture<@Nullable Page>> reads = new ArrayList<>();
		for (Map.Entry<String, String> named : manifest.pages().entrySet()) {
			reads.add(readPage(named.getKey(), named.getValue(), known.page()));
		}
		return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
			.thenApply((done) -> collect(entry, reads));
	}

	private static @Nullable Manifest parseManifest(Head head, KeyValueStore.Entry entry) {
		String text = entry.value();
		if (text == null) {
			return null;
		}
		try {
			Manifest manifest = Manifest.parse(text);
			return manifest.digest().equals(head.manifest()) ? manifest : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private CompletableFuture<@Nullable Page> readPage(String name, String digest,
			Function<String, @Nullable Page> known) {
		Page page = known.apply(digest);
		if (page != null && page.name().equals(name)) {
			return CompletableFuture.completedFuture(page);
		}
		return this.store.get(ConfigurationKeys.pageKey(digest))
			.thenApply((entry) -> parsePage(name, digest, entry.value()));
	}

	/**
	 * Parses a page and checks its digest.
	 * @param name the name of the page
	 * @param digest the expected digest
	 * @param text the text or {@code null}
	 * @return the page or {@code null} if it does not match
	 */
	static @Nullable Page parsePage(String name, String digest, @Nullable String text) {
		if (text == null) {
			return null;
		}
		try {
			Page page = Page.parse(name, text);
			return page.digest().equals(digest) ? page : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private static @Nullable StoredConfiguration collect(HeadEntry entry,
			List<CompletableFuture<@Nullable Page>> reads) {
		List<Page> pages = new ArrayList<>();
		for (CompletableFuture<@Nullable Page> read : reads) {
			Page page = read.join();
			if (page == null) {
				return null;
			}
			pages.add(page);
		}
		return new StoredConfiguration(entry.head(), entry.modifyRevision(), Pages.collect(pages));
	}

	/**
	 * The manifest and pages that a reader already knows.
	 *
	 * @param manifest the manifest of the revision in force
	 * @param page returns a page by its digest, or {@code null} if it is not known
	 */
	record Known(Manifest manifest, Function<String, @Nullable Page> page) {

		/** No known manifest and pages. */
		static final Known NOTHING = new Known(Manifest.EMPTY, (digest) -> null);

	}

	/**
	 * A head and when it was written.
	 *
	 * @param head the head
	 * @param modifyRevision the revision of the service at which it was written, 0 if
	 * there is none
	 */
	record HeadEntry(Head head, long modifyRevision) {

		/**
		 * Parses an entry of the service.
		 * @param entry the entry
		 * @return the head and when it was written
		 * @throws KeyValueFailure if the value is malformed
		 */
		static HeadEntry of(KeyValueStore.Entry entry) {
			String text = entry.value();
			if (text == null) {
				return new HeadEntry(Head.INITIAL, 0);
			}
			try {
				return new HeadEntry(Head.parse(text), entry.modifyRevision());
			}
			catch (IllegalArgumentException ex) {
				throw new KeyValueFailure("malformed head: " + ex.getMessage(), false);
			}
		}

	}

}
