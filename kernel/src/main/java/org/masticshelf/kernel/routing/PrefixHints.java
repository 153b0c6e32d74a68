package org.masticshelf.kernel.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Which endpoint was last known to hold a prompt's prefix in its cache.
 * <p>
 * Invariant: holds at most {@link #MAXIMUM_PREFIXES} prefixes. The hints are only hints:
 * they come late, and after a gap in an endpoint's events all its hints are dropped. Not
 * safe for use by several threads; guarded by the lock of its shard.
 */
public final class PrefixHints {

	/** The most prefixes that are remembered. */
	public static final int MAXIMUM_PREFIXES = 4_096;

	private static final long HINT_LIFE_NANOSECONDS = 60_000_000_000L;

	private final Map<Long, Hint> hints = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Hint> eldest) {
			return size() > MAXIMUM_PREFIXES;
		}

	};

	private final Map<String, Long> lastEvents = new HashMap<>();

	/**
	 * Notes that a request with a prefix was sent to an endpoint.
	 * @param prefixHash the hash of the prefix
	 * @param endpoint the identifier of the endpoint
	 * @param now the monotonic reading in nanoseconds
	 */
	public void recordDispatch(long prefixHash, String endpoint, long now) {
		this.hints.put(prefixHash, new Hint(endpoint, now));
	}

	/**
	 * Takes over an event of an endpoint's cache.
	 * @param endpoint the identifier of the endpoint
	 * @param sequence the number of the event, one higher than the one before
	 * @param prefixHash the hash of the prefix
	 * @param stored whether the prefix was stored, else it was dropped
	 * @param now the monotonic reading in nanoseconds
	 */
	public void recordCacheEvent(String endpoint, long sequence, long prefixHash, boolean stored, long now) {
		Long last = this.lastEvents.get(endpoint);
		if (last != null && sequence <= last) {
			return;
		}
		if (last != null && sequence > last + 1) {
			forget(endpoint);
		}
		this.lastEvents.put(endpoint, sequence);
		if (stored) {
			this.hints.put(prefixHash, new Hint(endpoint, now));
		}
		else {
			this.hints.computeIfPresent(prefixHash, (hash, hint) -> hint.endpoint().equals(endpoint) ? null : hint);
		}
	}

	private void forget(String endpoint) {
		this.hints.values().removeIf((hint) -> hint.endpoint().equals(endpoint));
	}

	/**
	 * Returns where a prefix was last known to be.
	 * @param prefixHash the hash of the prefix
	 * @param now the monotonic reading in nanoseconds
	 * @return the identifier of the endpoint or {@code null} if none is known
	 */
	public @Nullable String holderOf(long prefixHash, long now) {
		Hint hint = this.hints.get(prefixHash);
		return (hint != null && now - hint.seen() <= HINT_LIFE_NANOSECONDS) ? hint.endpoint() : null;
	}

	/**
	 * A hint.
	 *
	 * @param endpoint the identifier of the endpoint
	 * @param seen the monotonic reading in nanoseconds
	 */
	private record Hint(String endpoint, long seen) {
	}

}
