package org.masticshelf.kernel.port;

/**
 * An exchange with an endpoint or peer that brought no whole answer.
 */
public final class ExchangeFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Point point;

	/**
	 * Creates a failure.
	 * @param point how far the exchange had come
	 * @param message what was seen
	 */
	public ExchangeFailure(Point point, String message) {
		super(message);
		this.point = point;
	}

	/**
	 * Returns how far the exchange had come.
	 * @return the point of failure
	 */
	public Point point() {
		return this.point;
	}

	/** How far an exchange had come when it failed. */
	public enum Point {

		/** No connection was made, so nothing was sent. */
		BEFORE_CONNECT,

		/** A connection stood, but no byte of the request had been written. */
		BEFORE_FIRST_BYTE,

		/** Part of the request had been written. */
		IN_REQUEST,

		/** The request was written and no byte of the answer had come. */
		AWAITING_ANSWER,

		/** The answer had begun. */
		IN_ANSWER,

		/** The endpoint answered that it refused the request before running it. */
		REFUSED_BY_ENDPOINT,

		/** The answer is malformed, short or another request's. */
		INVALID_ANSWER;

		/**
		 * Returns whether the request certainly did not run.
		 * @return {@code true} only if no byte of the request can have been processed
		 */
		public boolean provesNotRun() {
			return this == BEFORE_CONNECT || this == BEFORE_FIRST_BYTE || this == REFUSED_BY_ENDPOINT;
		}

	}

}
