package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.request.EventSplitter.StreamEvent;

/**
 * Forwards the events of one stream to its caller, across several endpoints if the stream
 * is resumed.
 * <p>
 * Invariant: each event is delivered completely and once, in the order of the
 * identifiers; the headers are those of the first attempt. A plain answer that is relayed
 * in parts cannot be resumed. Not thread-safe.
 */
final class StreamRelay {

	private final CallerChannel caller;

	private boolean started;

	private boolean plain;

	private @Nullable String lastIdentifier;

	/**
	 * Creates a relay that has not forwarded anything.
	 * @param caller the channel to the caller
	 * @param resumeAfter the last event that the caller already has, {@code null} for
	 * none
	 */
	StreamRelay(CallerChannel caller, @Nullable String resumeAfter) {
		this.caller = caller;
		this.lastIdentifier = resumeAfter;
	}

	/**
	 * Forwards the events that the caller does not have yet.
	 * @param headers the headers of the current attempt
	 * @param events complete events
	 * @throws IOException if the caller has disconnected, or an event is missing
	 */
	void forward(List<Header> headers, List<StreamEvent> events) throws IOException {
		for (StreamEvent event : events) {
			if (isDuplicate(event)) {
				continue;
			}
			if (!this.started) {
				this.started = true;
				this.caller.begin(200, headers, -1);
			}
			this.caller.write(event.bytes());
			if (event.identifier() != null) {
				this.lastIdentifier = event.identifier();
			}
		}
	}

	private boolean isDuplicate(StreamEvent event) throws MissingEventException {
		Long last = sequenceNumber(this.lastIdentifier);
		Long next = sequenceNumber(event.identifier());
		if (last == null || next == null || next == last + 1) {
			return false;
		}
		if (next <= last) {
			return true;
		}
		throw new MissingEventException("event " + next + " after event " + last);
	}

	private static @Nullable Long sequenceNumber(@Nullable String identifier) {
		boolean isNumber = identifier != null && !identifier.isEmpty() && identifier.length() <= 18
				&& identifier.chars().allMatch(Character::isDigit);
		return isNumber ? Long.valueOf(identifier) : null;
	}

	/**
	 * Returns whether anything was sent to the caller.
	 * @return whether the answer was started
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns the identifier of the last event that the caller has.
	 * @return the identifier, {@code null} if there is none
	 */
	@Nullable String lastIdentifier() {
		return this.lastIdentifier;
	}

	/**
	 * Ends a complete stream.
	 * @param headers the headers of the current attempt, sent if there was no event
	 */
	void end(List<Header> headers) {
		if (!this.started) {
			this.started = true;
			this.caller.begin(200, headers, 0);
		}
		this.caller.end();
	}

	/**
	 * Starts to relay a plain answer, of which {@link CallerChannel#write} takes the
	 * parts.
	 * @param status the HTTP status
	 * @param headers the headers of the answer
	 * @param length the length of the body, negative if unknown
	 * @return the channel to the caller
	 */
	CallerChannel beginPlain(int status, List<Header> headers, long length) {
		this.started = true;
		this.plain = true;
		this.caller.begin(status, headers, length);
		return this.caller;
	}

	/**
	 * Returns whether another endpoint may go on with what the caller has so far.
	 * @return whether no part of a plain answer was sent to the caller
	 */
	boolean isResumable() {
		return !this.plain;
	}

	/** An endpoint skipped an event. */
	static final class MissingEventException extends IOException {

		private static final long serialVersionUID = 1L;

		private MissingEventException(String message) {
			super(message);
		}

	}

}
