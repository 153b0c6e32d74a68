package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;
import org.masticshelf.serving.request.EventSplitter.StreamEvent;

/**
 * Passes the events of one stream on to its caller, over several runs if need be.
 * <p>
 * Invariant: each event reaches the caller whole and once, in the order of the
 * identifiers; the headers are those of the first run. Used by one thread.
 */
final class StreamRelay {

	private final CallerChannel caller;

	private boolean begun;

	private @Nullable String lastIdentifier;

	/**
	 * Creates a relay that has passed nothing on.
	 * @param caller the caller
	 * @param resumeAfter the last event that the caller has, {@code null} for none
	 */
	StreamRelay(CallerChannel caller, @Nullable String resumeAfter) {
		this.caller = caller;
		this.lastIdentifier = resumeAfter;
	}

	/**
	 * Passes events on.
	 * @param headers the headers of the run that they come from
	 * @param events whole events
	 * @throws IOException if the caller has gone, or an event is missing
	 */
	void forward(List<Header> headers, List<StreamEvent> events) throws IOException {
		for (StreamEvent event : events) {
			if (isDuplicate(event)) {
				continue;
			}
			if (!this.begun) {
				this.begun = true;
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
		boolean number = identifier != null && !identifier.isEmpty() && identifier.length() <= 18
				&& identifier.chars().allMatch(Character::isDigit);
		return number ? Long.valueOf(identifier) : null;
	}

	/**
	 * Returns whether the caller has been sent anything.
	 * @return whether an answer was begun
	 */
	boolean isStarted() {
		return this.begun;
	}

	/**
	 * Returns the last event that the caller has.
	 * @return its identifier, {@code null} if it has none
	 */
	@Nullable String lastIdentifier() {
		return this.lastIdentifier;
	}

	/**
	 * Ends a whole stream.
	 * @param headers the headers of the run, sent if there was no event
	 */
	void end(List<Header> headers) {
		if (!this.begun) {
			this.begun = true;
			this.caller.begin(200, headers, 0);
		}
		this.caller.end();
	}

	/** A run left out an event. */
	static final class MissingEventException extends IOException {

		private static final long serialVersionUID = 1L;

		private MissingEventException(String message) {
			super(message);
		}

	}

}
