package org.masticshelf.kernel.configuration;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * The short description of a revision: who made it and which pages it changed. The names
 * and digests of all pages stand in its {@link Manifest}, so that asking for the newest
 * revision stays cheap however large the tables are.
 * <p>
 * Immutable.
 *
 * @param revision the revision, 1 or more
 * @param change the unique identifier of the change, by which its author recognises it
 * @param author who made the change
 * @param note why, in the author's words
 * @param manifest the digest of the manifest
 * @param changed the difference from the manifest of the revision before, or {@code null}
 * if it is too long to stand here
 */
public record Head(long revision, String change, String author, String note, String manifest,
		@Nullable SortedMap<String, String> changed) {

	/** The head before any change. */
	public static final Head INITIAL = new Head(0, "none", "nobody", "", Manifest.EMPTY.digest(), null);

	/** The most pages that a difference in the head may name. */
	public static final int MAXIMUM_CHANGED_PAGES = 16;

	/**
	 * Creates a head.
	 */
	public Head {
		changed = (changed != null) ? Collections.unmodifiableSortedMap(new TreeMap<>(changed)) : null;
	}

	/**
	 * Describes the revision that follows another.
	 * @param revision the new revision
	 * @param change the unique identifier of the change
	 * @param author who made the change
	 * @param note why
	 * @param before the manifest before the change
	 * @param after the manifest after the change
	 * @return the new head
	 */
	public static Head of(long revision, String change, String author, String note, Manifest before, Manifest after) {
		SortedMap<String, String> difference = after.differenceFrom(before);
		boolean fits = difference.size() <= MAXIMUM_CHANGED_PAGES;
		return new Head(revision, change, author, note, after.digest(), fits ? difference : null);
	}

	/**
	 * Parses a stored head.
	 * @param text the stored text
	 * @return the head
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static Head parse(String text) {
		Head head = ConfigurationJson.read(text, Head.class);
		if (head.revision < 1 || head.change == null || head.manifest == null || head.author == null
				|| head.note == null) {
			throw new IllegalArgumentException("a member of the head is missing");
		}
		return head;
	}

	/**
	 * Returns the stored form.
	 * @return canonical JSON
	 */
	public String toText() {
		return ConfigurationJson.write(this);
	}

	/**
	 * Returns whether another head describes the same tables under the same revision.
	 * @param other the other head
	 * @return whether revision and manifest agree
	 */
	public boolean agreesWith(Head other) {
		return this.revision == other.revision && this.manifest.equals(other.manifest);
	}

}
