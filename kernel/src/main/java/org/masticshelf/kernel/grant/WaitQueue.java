package org.masticshelf.kernel.grant;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Queues the daemons that wait for the keeper's tokens, in the order in which they began
 * to wait, so that small requests cannot starve a large one.
 * <p>
 * Invariant: a daemon that has not asked again for
 * {@link GrantParameters#WAIT_TIMEOUT_NANOSECONDS} loses its place. Not thread-safe.
 */
final class WaitQueue {

	private final Map<String, Waiter> waiters = new LinkedHashMap<>();

	/**
	 * Returns the tokens for which the daemons ahead of a daemon wait.
	 * @param holder the incarnation of the daemon
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	long tokensAhead(String holder, long now) {
		this.waiters.values().removeIf((waiter) -> now - waiter.askedAt() > GrantParameters.WAIT_TIMEOUT_NANOSECONDS);
		long tokens = 0;
		for (Map.Entry<String, Waiter> entry : this.waiters.entrySet()) {
			if (entry.getKey().equals(holder)) {
				break;
			}
			tokens += entry.getValue().tokens();
		}
		return tokens;
	}

	/**
	 * Adds a daemon; one that already waits keeps its place.
	 * @param holder the incarnation of the daemon
	 * @param tokens the tokens that it needs at once; 0 removes it
	 * @param now the time in nanoseconds
	 */
	void enqueue(String holder, long tokens, long now) {
		if (tokens > 0) {
			this.waiters.put(holder, new Waiter(tokens, now));
		}
		else {
			this.waiters.remove(holder);
		}
	}

	/**
	 * Removes a daemon.
	 * @param holder the incarnation of the daemon
	 */
	void remove(String holder) {
		this.waiters.remove(holder);
	}

	private record Waiter(long tokens, long askedAt) {
	}

}
