package org.masticshelf.kernel.stream;

import java.util.Locale;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * How a streamed answer goes on after an exchange has ended.
 * <p>
 * Immutable.
 */
public sealed interface StreamOutcome {

	/**
	 * Renders this decision as an event.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The caller has got the whole answer.
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
	 * The engine is asked for the rest.
	 *
	 * @param afterTokens how many tokens the caller has got
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
	 * The stream ends with an explicit error event.
	 *
	 * @param tokens how many tokens the caller has got
	 * @param cause why the answer is not whole
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

	/** Why an answer is not whole. */
	enum Cause {

		/** The connection broke. */
		INTERRUPTED,

		/** The stream ended without its final event. */
		NO_FINAL_EVENT,

		/** Fewer tokens came than the engine counted. */
		SHORT,

		/** More tokens came than the engine counted. */
		LONG,

		/** Pieces were missing in between. */
		GAP,

		/** A piece overlapped earlier ones. */
		OVERLAP,

		/** A piece of another request came. */
		OTHER_REQUEST;

		/**
		 * Returns the form that logs and callers see.
		 * @return the lower-case name
		 */
		public String code() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
