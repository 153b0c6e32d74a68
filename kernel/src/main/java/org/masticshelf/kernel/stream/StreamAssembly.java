package org.masticshelf.kernel.stream;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * Follows one streamed answer over one or more exchanges with engines.
 * <p>
 * Invariants: the pieces answered with {@link Step#FORWARD} are the answer from its first
 * token on, without gap, repetition or a piece of another request; {@link Ending.Whole}
 * is only said if the final event came and the engine counted as many tokens as were
 * forwarded. Each exchange is used until its first ending, afterwards its pieces are
 * late. Not safe for use by several threads; the answer's sink is called by one at a
 * time.
 */
public final class StreamAssembly {

	/** How often one answer is resumed at most. */
	public static final int MAXIMUM_RESUMPTIONS = 3;

	private final String identity;

	private final boolean resumable;

	private long tokens;

	private int resumptions;

	private boolean open = true;

	private Ending.@Nullable Cause defect;

	/**
	 * Creates the assembly of an answer.
	 * @param identity the identity that each piece has to carry
	 * @param resumable whether the engine may be asked again for the rest: it can resume
	 * and the request is idempotent
	 */
	public StreamAssembly(String identity, boolean resumable) {
		this.identity = identity;
		this.resumable = resumable;
	}

	/**
	 * Takes a piece.
	 * @param piece the piece
	 * @return what to do with it
	 */
	public Step accept(Piece piece) {
		if (!this.open || this.defect != null) {
			return Step.LATE;
		}
		if (!piece.identity().equals(this.identity)) {
			return defect(Ending.Cause.OTHER_REQUEST, Step.OTHER_REQUEST);
		}
		long first = (piece.firstToken() != Piece.UNNUMBERED) ? piece.firstToken() : this.tokens;
		if (first > this.tokens) {
			return defect(Ending.Cause.GAP, Step.GAP);
		}
		if (first < this.tokens) {
			return (first + piece.tokens() <= this.tokens) ? Step.REPEATED : defect(Ending.Cause.OVERLAP, Step.OVERLAP);
		}
		this.tokens += piece.tokens();
		return Step.FORWARD;
	}

	private Step defect(Ending.Cause cause, Step step) {
		this.defect = cause;
		return step;
	}

	/**
	 * Notes that the exchange ended as the engine meant it to.
	 * @param finalEvent whether the final event came
	 * @param countedTokens the tokens that the engine counted for the whole answer, those
	 * before a resumption included
	 * @param timeLeft whether the deadline leaves time for the rest
	 * @return how the answer goes on
	 */
	public Ending finished(boolean finalEvent, long countedTokens, boolean timeLeft) {
		if (this.defect == null && finalEvent && countedTokens == this.tokens) {
			this.open = false;
			return new Ending.Whole(this.tokens);
		}
		return goOn(causeOf(finalEvent, countedTokens), timeLeft);
	}

	private Ending.Cause causeOf(boolean finalEvent, long countedTokens) {
		if (this.defect != null) {
			return this.defect;
		}
		if (!finalEvent) {
			return Ending.Cause.NO_FINAL_EVENT;
		}
		return (countedTokens > this.tokens) ? Ending.Cause.SHORT : Ending.Cause.LONG;
	}

	/**
	 * Notes that the exchange broke, or was ended because of a step that breaks it.
	 * @param timeLeft whether the deadline leaves time for the rest
	 * @return how the answer goes on
	 */
	public Ending interrupted(boolean timeLeft) {
		return goOn((this.defect != null) ? this.defect : Ending.Cause.INTERRUPTED, timeLeft);
	}

	private Ending goOn(Ending.Cause cause, boolean timeLeft) {
		boolean curable = cause != Ending.Cause.LONG;
		if (this.open && this.resumable && timeLeft && curable && this.resumptions < MAXIMUM_RESUMPTIONS) {
			this.resumptions++;
			this.defect = null;
			return new Ending.Resume(Math.toIntExact(this.tokens), cause);
		}
		this.open = false;
		return new Ending.Broken(this.tokens, cause, Refusal.possiblyRun(reasonOf(cause)));
	}

	private static Refusal.Reason reasonOf(Ending.Cause cause) {
		return switch (cause) {
			case INTERRUPTED, NO_FINAL_EVENT, SHORT -> Refusal.Reason.ANSWER_INCOMPLETE;
			case LONG, GAP, OVERLAP, OTHER_REQUEST -> Refusal.Reason.ANSWER_INVALID;
		};
	}

	/**
	 * Returns how much of the answer the caller has got.
	 * @return the length in tokens
	 */
	public long tokens() {
		return this.tokens;
	}

}
