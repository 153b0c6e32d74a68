package org.masticshelf.kernel.grant;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The daemons that wait for the keeper's tokens, in the order in which they began to
 * wait, so that a large request is not overtaken for ever by small ones.
 * <p>
 * Invariant: a daemon that has not asked again for
 * {@link GrantParameters#WAIT_TIMEOUT_NANOSECONDS} holds no turn. Not safe for use by
 * several threads.
 */
final class WaitQueue {

	private final Map<String, Turn> turns = new LinkedHashMap<>();

	/**
	 * Returns the tokens that daemons ahead of one wait for.
	 * @param holder the incarnation of the daemon
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	long tokensAhead(String holder, long now) {
		this.turns.values().removeIf((turn) -> now - turn.askedAt() > GrantParameters.WAIT_TIMEOUT_NANOSECONDS);
		long tokens = 0;
		for (Map.Entry<String, Turn> entry : this.turns.entrySet()) {
			if (entry.getKey().equals(holder)) {
				break;
			}
			tokens += entry.getValue().tokens();
		}
		return tokens;
	}

	/**
	 * Notes that a daemon waits; it keeps its place if it waited before.
	 * @param holder the incarnation of the daemon
	 * @param tokens the tokens that it needs at once
	 * @param now the time in nanoseconds
	 */
	void enqueue(String holder, long tokens, long now) {
		if (tokens > 0) {
			this.turns.put(holder, new Turn(tokens, now));
		}
		else {
			this.turns.remove(holder);
		}
	}

	/**
	 * Ends a daemon's wait.
	 * @param holder the incarnation of the daemon
	 */
	void remove(String holder) {
		this.turns.remove(holder);
	}

	private record Turn(long tokens, long askedAt) {
	}

}
