package org.masticshelf.kernel.share;

/**
 * What a source says about how long an endpoint is cold.
 * <p>
 * Designed for endpoints that start or turn cold under load, some without a notice in the
 * key-value service, whose entry goes on to say that they are warm. Immutable and
 * thread-safe.
 *
 * @param source the source
 * @param statedAt when the source said so, monotonic milliseconds
 * @param coldUntil until when the endpoint is cold, not after {@code statedAt} if it is
 * warm
 */
public record ColdStatement(Source source, long statedAt, long coldUntil) {

	/**
	 * By how much the times of a statement that peers pass on may be too late, so that it
	 * does not become newer while they pass it on to each other.
	 */
	static final long DRIFT_MILLISECONDS = 300;

	/**
	 * Returns whether the endpoint is cold by this statement.
	 * @param now the monotonic time in milliseconds
	 * @return whether it is cold
	 */
	public boolean isCold(long now) {
		return now < this.coldUntil;
	}

	/**
	 * Returns whether a statement that is received later replaces this one. The newest
	 * counts, except that an entry without a sign of cold does not refute what the
	 * endpoint has said in an answer, here or to a peer: entries lag, and an endpoint may
	 * turn cold without a change of its entry.
	 * @param later the statement that is received later
	 * @return whether it replaces this one
	 */
	public boolean yieldsTo(ColdStatement later) {
		return switch (later.source) {
			case ANSWER, FIRST_SIGHT -> true;
			case ENTRY -> later.coldUntil > later.statedAt || !this.source.isFromEndpoint();
			case PEER -> (this.source == Source.ENTRY && this.coldUntil <= this.statedAt)
					|| later.statedAt > this.statedAt + DRIFT_MILLISECONDS
					|| (later.statedAt > this.statedAt && later.coldUntil > this.coldUntil + DRIFT_MILLISECONDS);
		};
	}

	/** Where a statement comes from. */
	public enum Source {

		/** The endpoint's entry in the key-value service. */
		ENTRY,

		/** A new run of the endpoint was seen for the first time. */
		FIRST_SIGHT,

		/** An answer of the endpoint. */
		ANSWER,

		/** A peer passed on what the endpoint said in an answer. */
		PEER;

		/**
		 * Returns whether the endpoint said so in an answer.
		 * @return whether peers are told of it
		 */
		public boolean isFromEndpoint() {
			return this == ANSWER || this == PEER;
		}

	}

}
