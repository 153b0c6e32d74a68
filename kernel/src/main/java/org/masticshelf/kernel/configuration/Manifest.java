package org.masticshelf.kernel.configuration;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The names and digests of all pages of a revision.
 * <p>
 * Immutable.
 *
 * @param pages the digest of each page by its name
 */
public record Manifest(SortedMap<String, String> pages) {

	/** The manifest before any change. */
	public static final Manifest EMPTY = new Manifest(new TreeMap<>());

	/** The digest that marks a removed page in a difference. */
	public static final String REMOVED = "";

	/**
	 * Creates a manifest.
	 */
	public Manifest {
		pages = Collections.unmodifiableSortedMap(new TreeMap<>(pages));
	}

	/**
	 * Parses a stored manifest.
	 * @param text the stored text
	 * @return the manifest
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static Manifest parse(String text) {
		return ConfigurationJson.read(text, Manifest.class);
	}

	/**
	 * Returns the stored form.
	 * @return canonical JSON
	 */
	public String toText() {
		return ConfigurationJson.write(this);
	}

	/**
	 * Returns the digest that a head names this manifest by.
	 * @return the SHA-256 digest in hexadecimal
	 */
	public String digest() {
		return ConfigurationJson.digestOf(toText());
	}

	/**
	 * Computes the difference from an earlier manifest to this one.
	 * @param earlier the earlier manifest
	 * @return the new digest by page, {@link #REMOVED} for a page that is gone
	 */
	public SortedMap<String, String> differenceFrom(Manifest earlier) {
		SortedMap<String, String> difference = new TreeMap<>();
		this.pages.forEach((name, digest) -> {
			if (!digest.equals(earlier.pages.get(name))) {
				difference.put(name, digest);
			}
		});
		for (String name : earlier.pages.keySet()) {
			if (!this.pages.containsKey(name)) {
				difference.put(name, REMOVED);
			}
		}
		return difference;
	}

	/**
	 * Applies a difference.
	 * @param difference the new digest by page, {@link #REMOVED} for a page that is gone
	 * @return the later manifest
	 */
	public Manifest withDifference(SortedMap<String, String> difference) {
		SortedMap<String, String> later = new TreeMap<>(this.pages);
		difference.forEach((name, digest) -> {
			if (digest.equals(REMOVED)) {
				later.remove(name);
			}
			else {
				later.put(name, digest);
			}
		});
		return new Manifest(later);
	}

}
