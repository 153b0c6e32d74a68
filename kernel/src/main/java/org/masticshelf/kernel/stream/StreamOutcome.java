package org.masticshelf.kernel.stream;

import java.util.Locale;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * Represents how a streamed answer continues after an exchange has ended.
 * <p>
 * Immutable.
 */
public sealed interface StreamOutcome {

	/**
	 * Returns the log event of this outcome.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Signals that the caller has received the whole answer.
	 *
	 * @param tokens the length of the answer in tokens
	 */
	record Whole(long tokens) implements StreamOutcome {

		@Override
		public Event toEvent() {
			return Event.named("stream.whole").with("tokens", this.tokens);
		}

	}

	/**
	 * Signals that the engine has to be asked for the rest.
	 *
	 * @param afterTokens the number of tokens that the caller has received
	 * @param cause why the exchange ended early
	 */
	record Resume(int afterTokens, Cause cause) implements StreamOutcome {

		@Override
		public Event toEvent() {
			return Event.named("stream.resumed")
				.with("after_tokens", this.afterTokens)
				.with("cause", this.cause.code());
		}

	}

	/**
	 * Signals that the stream has to end with an explicit error event.
	 *
	 * @param tokens the number of tokens that the caller has received
	 * @param cause why the answer is incomplete or invalid
	 * @param refusal what the error event says
	 */
	record Broken(long tokens, Cause cause, Refusal refusal) implements StreamOutcome {

		@Override
		public Event toEvent() {
			return Event.named("stream.broken")
				.with("tokens", this.tokens)
				.with("cause", this.cause.code())
				.with("ran", this.refusal.ran().code());
		}

	}

	/** Why an exchange did not complete the answer. */
	enum Cause {

		/** The connection broke. */
		INTERRUPTED,

		/** The stream ended without its final event. */
		NO_FINAL_EVENT,

		/** Fewer tokens were received than the engine counted. */
		SHORT,

		/** More tokens were received than the engine counted. */
		LONG,

		/** Pieces in between were missing. */
		GAP,

		/** A piece overlapped earlier ones. */
		OVERLAP,

		/** A piece of another request was received. */
		OTHER_REQUEST;

		/**
		 * Returns the code that logs and callers see.
		 * @return the lower-case name
		 */
		public String code() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
