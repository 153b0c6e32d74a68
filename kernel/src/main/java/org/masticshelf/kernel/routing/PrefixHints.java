package org.masticshelf.kernel.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Remembers which endpoint was last known to have a prompt's prefix in its cache.
 * <p>
 * Invariant: holds at most {@link #MAXIMUM_PREFIXES} prefixes. Hints can be wrong: cache
 * events arrive late, and a gap in the events of an endpoint discards all its hints. Not
 * thread-safe; guarded by the lock of its shard.
 */
public final class PrefixHints {

	/** The maximum number of remembered prefixes. */
	public static final int MAXIMUM_PREFIXES = 4_096;

	private static final long HINT_LIFETIME_NANOSECONDS = 60_000_000_000L;

	private final Map<Long, Hint> hints = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Hint> eldest) {
			return size() > MAXIMUM_PREFIXES;
		}

	};

	private final Map<String, Long> lastSequences = new HashMap<>();

	/**
	 * Records that a request with a prefix was sent to an endpoint.
	 * @param prefixHash the hash of the prefix
	 * @param endpoint the identifier of the endpoint
	 * @param now the monotonic reading in nanoseconds
	 */
	public void recordDispatch(long prefixHash, String endpoint, long now) {
		this.hints.put(prefixHash, new Hint(endpoint, now));
	}

	/**
	 * Records an event of an endpoint's cache. Events that are repeated or out of order
	 * are ignored.
	 * @param endpoint the identifier of the endpoint
	 * @param sequence the sequence number of the event, one higher than that of the
	 * previous event
	 * @param prefixHash the hash of the prefix
	 * @param stored whether the prefix was stored, otherwise it was evicted
	 * @param now the monotonic reading in nanoseconds
	 */
	public void recordCacheEvent(String endpoint, long sequence, long prefixHash, boolean stored, long now) {
		Long last = this.lastSequences.get(endpoint);
		if (last != null && sequence <= last) {
			return;
		}
		if (last != null && sequence > last + 1) {
			discardHints(endpoint);
		}
		this.lastSequences.put(endpoint, sequence);
		if (stored) {
			this.hints.put(prefixHash, new Hint(endpoint, now));
		}
		else {
			this.hints.computeIfPresent(prefixHash, (hash, hint) -> hint.endpoint().equals(endpoint) ? null : hint);
		}
	}

	private void discardHints(String endpoint) {
		this.hints.values().removeIf((hint) -> hint.endpoint().equals(endpoint));
	}

	/**
	 * Returns the endpoint that was last known to hold a prefix.
	 * @param prefixHash the hash of the prefix
	 * @param now the monotonic reading in nanoseconds
	 * @return the identifier of the endpoint or {@code null} if none is known
	 */
	public @Nullable String holderOf(long prefixHash, long now) {
		Hint hint = this.hints.get(prefixHash);
		return (hint != null && now - hint.seen() <= HINT_LIFETIME_NANOSECONDS) ? hint.endpoint() : null;
	}

	/**
	 * The last known holder of a prefix.
	 *
	 * @param endpoint the identifier of the endpoint
	 * @param seen the monotonic reading in nanoseconds
	 */
	private record Hint(String endpoint, long seen) {
	}

}
