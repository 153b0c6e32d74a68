package org.masticshelf.kernel.admission;

import java.util.Collection;
import java.util.Comparator;

/**
 * Decides whether a daemon accepts a request while it holds many bytes for slow readers,
 * and which answer it gives up to get below its limit.
 * <p>
 * Callers that upload slowly, endpoints that read slowly and callers that take their
 * answers slowly all make the daemon hold bytes for seconds. Refusing large new requests
 * first leaves the remaining memory to the many small ones; what is in progress goes on.
 * Stateless and thread-safe.
 */
public sealed interface HeldBytes {

	/** The share of the limit above which large requests are refused. */
	double NEARLY_FULL_SHARE = 0.75;

	/** The length of a body that is sent without an announced length. */
	long UNKNOWN_LENGTH = -1;

	/**
	 * The time after which a refused caller may retry. Answers in progress take a few
	 * hundred milliseconds to be read by a caller that keeps up.
	 */
	long RETRY_AFTER_MILLISECONDS = 400;

	/**
	 * The time without progress after which the answer that holds most bytes is given up.
	 * A connection recovers from lost packets within a few seconds, so that only callers
	 * that do not read are disconnected.
	 */
	long STALLED_MILLISECONDS = 10_000;

	/**
	 * Decides on a request whose head was read and whose body was not.
	 * @param holdings the bytes that are held
	 * @param bodyBytes the announced length of the body, {@link #UNKNOWN_LENGTH} if none
	 * is announced, which counts as larger than the median
	 * @return the decision
	 */
	static HeldBytes decide(Holdings holdings, long bodyBytes) {
		return switch (Level.of(holdings)) {
			case BELOW -> Accept.INSTANCE;
			case NEARLY_FULL -> (bodyBytes == UNKNOWN_LENGTH || bodyBytes > holdings.medianBody())
					? new Refuse(Level.NEARLY_FULL, RETRY_AFTER_MILLISECONDS) : Accept.INSTANCE;
			case FULL -> new Refuse(Level.FULL, RETRY_AFTER_MILLISECONDS);
		};
	}

	/**
	 * Decides whether to give up an answer. A smaller answer is never given up in place
	 * of a larger one whose caller still takes bytes.
	 * @param holdings the bytes that are held
	 * @param answers the answers that hold bytes
	 * @return the decision
	 */
	static Relief relieve(Holdings holdings, Collection<HeldAnswer> answers) {
		if (Level.of(holdings) != Level.FULL) {
			return Relief.None.INSTANCE;
		}
		return answers.stream()
			.max(Comparator.comparingLong(HeldAnswer::bytes).thenComparingLong(HeldAnswer::stalledMilliseconds))
			.filter((largest) -> largest.stalledMilliseconds() >= STALLED_MILLISECONDS)
			.<Relief>map(Relief.GiveUp::new)
			.orElse(Relief.None.INSTANCE);
	}

	/** The request is accepted. */
	enum Accept implements HeldBytes {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * The request is refused; it has not run.
	 *
	 * @param level how full the memory is
	 * @param retryAfterMilliseconds the time after which the caller may retry
	 */
	record Refuse(Level level, long retryAfterMilliseconds) implements HeldBytes {
	}

	/**
	 * The bytes that a daemon holds.
	 *
	 * @param bodies the bytes of requests' bodies
	 * @param answers the bytes of answers that their callers have not taken
	 * @param limit the limit of both together
	 * @param medianBody the median length of recent bodies
	 */
	record Holdings(long bodies, long answers, long limit, long medianBody) {
	}

	/** How full the memory for held bytes is. */
	enum Level {

		/** All requests are accepted. */
		BELOW,

		/** Requests with a body above the median are refused. */
		NEARLY_FULL,

		/** All requests are refused. */
		FULL;

		/**
		 * Returns the level of some holdings.
		 * @param holdings the bytes that are held
		 * @return the level
		 */
		public static Level of(Holdings holdings) {
			long held = holdings.bodies() + holdings.answers();
			if (held > holdings.limit()) {
				return FULL;
			}
			return (held > holdings.limit() * NEARLY_FULL_SHARE) ? NEARLY_FULL : BELOW;
		}

	}

	/**
	 * An answer of which the caller has not taken all bytes.
	 *
	 * @param number identifies the answer
	 * @param bytes the bytes that are held for it
	 * @param stalledMilliseconds how long its caller has taken none of them
	 */
	record HeldAnswer(long number, long bytes, long stalledMilliseconds) {
	}

	/** What is done to get below the limit. */
	sealed interface Relief {

		/** Nothing in progress is given up. */
		enum None implements Relief {

			/** The only instance. */
			INSTANCE

		}

		/**
		 * One answer is given up.
		 *
		 * @param answer the answer
		 */
		record GiveUp(HeldAnswer answer) implements Relief {
		}

	}

}
