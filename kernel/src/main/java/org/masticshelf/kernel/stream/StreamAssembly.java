package org.masticshelf.kernel.stream;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * Assembles one streamed answer from one or more exchanges with engines.
 * <p>
 * Invariants: the pieces for which {@link Step#FORWARD} is returned form the answer from
 * its first token on, without gaps, repetitions or pieces of other requests;
 * {@link StreamOutcome.Whole} is returned only if the final event was received and the
 * engine counted as many tokens as were forwarded. Each exchange is used until it first
 * ends; pieces after that are late. Not thread-safe; the answer's sink is called by one
 * thread at a time.
 */
public final class StreamAssembly {

	/** The maximum number of resumptions of one answer. */
	public static final int MAXIMUM_RESUMPTIONS = 3;

	private final String identity;

	private final boolean resumable;

	private long tokens;

	private int resumptions;

	private boolean open = true;

	private StreamOutcome.@Nullable Cause defect;

	/**
	 * Creates the assembly of an answer.
	 * @param identity the request identity that each piece has to carry
	 * @param resumable whether the engine may be asked again for the rest: it can resume
	 * and the request is idempotent
	 */
	public StreamAssembly(String identity, boolean resumable) {
		this.identity = identity;
		this.resumable = resumable;
	}

	/**
	 * Accepts a piece.
	 * @param piece the piece
	 * @return what to do with it
	 */
	public Step accept(Piece piece) {
		if (!this.open || this.defect != null) {
			return Step.LATE;
		}
		if (!piece.identity().equals(this.identity)) {
			return recordDefect(StreamOutcome.Cause.OTHER_REQUEST, Step.OTHER_REQUEST);
		}
		long first = (piece.firstToken() != Piece.UNNUMBERED) ? piece.firstToken() : this.tokens;
		if (first > this.tokens) {
			return recordDefect(StreamOutcome.Cause.GAP, Step.GAP);
		}
		if (first < this.tokens) {
			return (first + piece.tokens() <= this.tokens) ? Step.REPEATED
					: recordDefect(StreamOutcome.Cause.OVERLAP, Step.OVERLAP);
		}
		this.tokens += piece.tokens();
		return Step.FORWARD;
	}

	private Step recordDefect(StreamOutcome.Cause cause, Step step) {
		this.defect = cause;
		return step;
	}

	/**
	 * Records that the engine ended the exchange.
	 * @param finalEvent whether the final event was received
	 * @param countedTokens the number of tokens that the engine counted for the whole
	 * answer, including those before a resumption
	 * @param timeLeft whether time for the rest remains before the deadline
	 * @return how the answer continues
	 */
	public StreamOutcome exchangeFinished(boolean finalEvent, long countedTokens, boolean timeLeft) {
		if (this.defect == null && finalEvent && countedTokens == this.tokens) {
			this.open = false;
			return new StreamOutcome.Whole(this.tokens);
		}
		return resumeOrBreak(causeOf(finalEvent, countedTokens), timeLeft);
	}

	private StreamOutcome.Cause causeOf(boolean finalEvent, long countedTokens) {
		if (this.defect != null) {
			return this.defect;
		}
		if (!finalEvent) {
			return StreamOutcome.Cause.NO_FINAL_EVENT;
		}
		return (countedTokens > this.tokens) ? StreamOutcome.Cause.SHORT : StreamOutcome.Cause.LONG;
	}

	/**
	 * Records that the exchange was interrupted, or ended because of a step that breaks
	 * it.
	 * @param timeLeft whether time for the rest remains before the deadline
	 * @return how the answer continues
	 */
	public StreamOutcome exchangeInterrupted(boolean timeLeft) {
		return resumeOrBreak((this.defect != null) ? this.defect : StreamOutcome.Cause.INTERRUPTED, timeLeft);
	}

	private StreamOutcome resumeOrBreak(StreamOutcome.Cause cause, boolean timeLeft) {
		boolean recoverable = cause != StreamOutcome.Cause.LONG;
		if (this.open && this.resumable && timeLeft && recoverable && this.resumptions < MAXIMUM_RESUMPTIONS) {
			this.resumptions++;
			this.defect = null;
			return new StreamOutcome.Resume(Math.toIntExact(this.tokens), cause);
		}
		this.open = false;
		return new StreamOutcome.Broken(this.tokens, cause, Refusal.possiblyRun(reasonOf(cause)));
	}

	private static Refusal.Reason reasonOf(StreamOutcome.Cause cause) {
		return switch (cause) {
			case INTERRUPTED, NO_FINAL_EVENT, SHORT -> Refusal.Reason.ANSWER_INCOMPLETE;
			case LONG, GAP, OVERLAP, OTHER_REQUEST -> Refusal.Reason.ANSWER_INVALID;
		};
	}

	/**
	 * Returns the length of the part of the answer that was forwarded to the caller.
	 * @return the length in tokens
	 */
	public long tokens() {
		return this.tokens;
	}

}
