package org.masticshelf.serving.caller;

/**
 * Accounts for the bytes that are held for callers, and decides which requests are
 * accepted. Implementations are thread-safe and do not block.
 */
public interface CallerMemory {

	/**
	 * Decides on a request whose body has not been read.
	 * @param identifier identifies the request in the log
	 * @param bodyBytes the announced length of the body, negative if none is announced
	 * @return the decision; an announced length counts as held from now on
	 */
	Decision admit(String identifier, long bodyBytes);

	/**
	 * Opens the account of an answer.
	 * @param identifier identifies the request in the log
	 * @param giveUp disconnects the caller; called by any thread, must not block
	 * @return the account
	 */
	AnswerAccount openAnswer(String identifier, Runnable giveUp);

	/** The decision on a request. */
	sealed interface Decision {

		/**
		 * The body may be read.
		 *
		 * @param body the account of the body
		 */
		record Accepted(BodyAccount body) implements Decision {
		}

		/**
		 * The request is refused and has not run.
		 *
		 * @param retryAfterMilliseconds when the caller may retry
		 */
		record Refused(long retryAfterMilliseconds) implements Decision {
		}

	}

	/** The account of one body. Thread-safe. */
	interface BodyAccount {

		/**
		 * Counts bytes of a body without an announced length.
		 * @param bytes the number of bytes that were read
		 */
		void add(long bytes);

		/** Ends the account once the body is no longer held; further calls do nothing. */
		void release();

	}

	/** The account of one answer. Thread-safe. */
	interface AnswerAccount {

		/**
		 * Counts bytes that are queued for the caller.
		 * @param bytes the number of bytes
		 */
		void add(long bytes);

		/**
		 * Counts queued bytes that the caller has taken.
		 * @param bytes the number of bytes
		 */
		void take(long bytes);

		/** Ends the account once nothing is held any more; further calls do nothing. */
		void release();

	}

}
