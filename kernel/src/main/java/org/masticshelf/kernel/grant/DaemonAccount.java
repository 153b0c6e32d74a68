package org.masticshelf.kernel.grant;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * What one daemon may spend for one organisation, and what it asks of the keeper.
 * <p>
 * Invariant: tokens come only from slices within their lives and from the allotment while
 * it is not on loan; one exchange is under way at a time, and an answer counts only for
 * the exchange under way, so that late and duplicate answers bring nothing. A charge is
 * settled at most once. Not safe for use by several threads.
 */
public final class DaemonAccount {

	private static final long MILLISECOND = 1_000_000L;

	private static final long COVERED_NANOSECONDS = 2 * GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;

	private static final long KEPT_NANOSECONDS = 4 * GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;

	private static final long ENDING_SOON_NANOSECONDS = 500 * MILLISECOND;

	private static final long CONTACT_NANOSECONDS = 1_000 * MILLISECOND;

	private static final long LONGEST_RETRY_NANOSECONDS = 60_000 * MILLISECOND;

	private final QualifiedName organisation;

	private final HeldSlices slices = new HeldSlices();

	private final DaemonAllotment allotment;

	private final DemandForecast forecast;

	private final Map<Long, OpenCharge> open = new HashMap<>();

	private final PendingCredits credits = new PendingCredits();

	private GrantLimits limits;

	private ReportedCharges group = new ReportedCharges(0, 0);

	private @Nullable Exchange exchange;

	private @Nullable GrantAnswer lastAnswer;

	private long lastAnswerAt;

	private long lastSentAt;

	private long sequence;

	private long charges;

	private long debtTokens;

	private long keeperSeenAt;

	private long loanFencing;

	private long offeredLoanEnd;

	private long loanEnd;

	private boolean abandoned;

	private boolean left;

	/**
	 * Creates the account of a daemon that has just started.
	 * @param organisation the organisation
	 * @param limits its rate and burst
	 * @param now the time in nanoseconds
	 */
	public DaemonAccount(QualifiedName organisation, GrantLimits limits, long now) {
		this.organisation = organisation;
		this.limits = limits;
		this.allotment = new DaemonAllotment(limits);
		this.forecast = new DemandForecast(now);
		this.lastSentAt = now - GrantParameters.IDLE_INTERVAL_NANOSECONDS;
	}

	/**
	 * Changes the limits from now on without refilling.
	 * @param newLimits the limits
	 * @param now the time in nanoseconds
	 */
	public void changeLimits(GrantLimits newLimits, long now) {
		this.limits = newLimits;
		this.allotment.changeLimits(newLimits, now);
	}

	/**
	 * Notes that a request asks for tokens, once for each request.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 */
	public void recordDemand(long tokens, long now) {
		this.forecast.add(tokens, now);
	}

	/**
	 * Charges tokens if they are here.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the outcome
	 */
	public ChargeOutcome charge(long tokens, long now) {
		if (tokens > this.limits.burstTokens()) {
			return new ChargeOutcome.Excessive(tokens, this.limits.burstTokens());
		}
		payDebt(now);
		if (this.left || this.debtTokens > 0 || heldTokens(now) < tokens) {
			return new ChargeOutcome.Insufficient(tokens, Math.max(0, earliestAvailableAt(tokens, now) - now));
		}
		OpenCharge charge = take(Math.max(0, tokens), now);
		this.open.put(++this.charges, charge);
		return new ChargeOutcome.Charged(this.charges, tokens, charge.validUntil());
	}

	/**
	 * Settles a charge with what was used of it. Unused tokens come back as far as the
	 * buckets would not have overflowed; tokens used beyond the charge are owed.
	 * @param charged the charge; settling it again has no effect
	 * @param usedTokens the tokens that were used, 0 if the request was not dispatched
	 * @param now the time in nanoseconds
	 */
	public void settle(ChargeOutcome.Charged charged, long usedTokens, long now) {
		OpenCharge charge = this.open.remove(charged.number());
		if (charge == null) {
			return;
		}
		this.debtTokens += Math.max(0, usedTokens - charged.tokens());
		long unused = Math.max(0, charged.tokens() - Math.max(0, usedTokens));
		long toAllotment = Math.min(unused, charge.allotmentTokens());
		TokenBucket bucket = this.allotment.usableBucket(now);
		if (bucket != null && bucket == charge.bucket()) {
			bucket.credit(toAllotment, charge.chargedAt(), now);
		}
		this.credits.add(charge.group(), unused - toAllotment);
	}

	/**
	 * Returns the tokens that could be charged now.
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	public long heldTokens(long now) {
		TokenBucket bucket = this.allotment.usableBucket(now);
		return this.slices.remainingTokens(now) + ((bucket != null) ? bucket.level(now) : 0);
	}

	/**
	 * Returns when tokens can be there at the earliest, as far as the daemon can tell; it
	 * is optimistic while the keeper does not answer.
	 * @param tokens the tokens, those of requests that wait before included
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long earliestAvailableAt(long tokens, long now) {
		long missing = tokens + this.debtTokens - heldTokens(now);
		GrantAnswer answer = this.lastAnswer;
		if (missing <= 0 || answer == null || !isInContact(now)) {
			return now;
		}
		long beyond = missing - answer.availableTokens();
		if (beyond <= 0) {
			return now;
		}
		if (answer.tokensPerSecond() == 0) {
			return Long.MAX_VALUE;
		}
		long full = this.lastAnswerAt + beyond * 1_000 / answer.tokensPerSecond() * MILLISECOND;
		return Math.max(now, full);
	}

	/**
	 * Returns whether the keeper has answered lately.
	 * @param now the time in nanoseconds
	 * @return whether its answers say how soon tokens can be there
	 */
	public boolean isInContact(long now) {
		return this.lastAnswer != null && now - this.lastAnswerAt <= CONTACT_NANOSECONDS;
	}

	/**
	 * Returns how long a refused caller should wait before it asks again.
	 * @param tokens the tokens that the caller lacks, those of requests before included
	 * @param now the time in nanoseconds
	 * @return the wait in nanoseconds, at least a second while the keeper does not answer
	 */
	public long retryAfter(long tokens, long now) {
		if (isInContact(now)) {
			return Math.max(MILLISECOND, earliestAvailableAt(tokens, now) - now);
		}
		long allotted = this.allotment.availableAt(tokens, now);
		return Math.clamp(allotted - now, CONTACT_NANOSECONDS, LONGEST_RETRY_NANOSECONDS);
	}

	/**
	 * Returns when the next exchange with the keeper is due.
	 * @param minimumTokens what the first waiting request needs, 0 if none waits
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} while one is under way
	 */
	public long nextExchangeAt(long minimumTokens, long now) {
		if (this.exchange != null) {
			return Long.MAX_VALUE;
		}
		return this.lastSentAt + intervalNanoseconds(minimumTokens, now);
	}

	/**
	 * Begins an exchange; none may be under way.
	 * @param minimumTokens what the first waiting request needs, 0 if none waits
	 * @param waitingTokens what all waiting requests need together
	 * @param now the time in nanoseconds, before the request is sent
	 * @return the request to send
	 */
	public GrantRequest beginExchange(long minimumTokens, long waitingTokens, long now) {
		if (this.exchange != null) {
			throw new IllegalStateException("an exchange for " + this.organisation + " is under way");
		}
		payDebt(now);
		long lend = lend(now);
		giveBackSurplus(waitingTokens, now);
		long held = heldTokens(now);
		long minimum = (minimumTokens > 0) ? Math.max(0, minimumTokens + this.debtTokens - held) : 0;
		long expected = this.forecast.expectedTokens(COVERED_NANOSECONDS, now);
		long wanted = Math.max(minimum, waitingTokens + this.debtTokens + expected - held);
		return send(new Amounts(lend, minimum, wanted, false), now);
	}

	/**
	 * Begins the last exchange: gives everything back and spends nothing afterwards.
	 * @param now the time in nanoseconds
	 * @return the request to send
	 */
	public GrantRequest beginLeaving(long now) {
		abandonExchange();
		this.left = true;
		this.slices.giveBack(Long.MAX_VALUE, now);
		this.allotment.update(0, now, now);
		return send(new Amounts(0, 0, 0, true), now);
	}

	/**
	 * Takes the answer of the exchange under way.
	 * @param answer the answer; any other exchange's is ignored
	 * @param now the time in nanoseconds
	 * @return whether it was taken
	 */
	public boolean acceptAnswer(GrantAnswer answer, long now) {
		Exchange current = this.exchange;
		GrantAnswer last = this.lastAnswer;
		if (current == null || current.sequence() != answer.sequence()) {
			return false;
		}
		if (last != null && answer.fencing() < last.fencing()) {
			return false;
		}
		this.exchange = null;
		this.abandoned = false;
		if (last == null || last.fencing() != answer.fencing()) {
			this.keeperSeenAt = now;
		}
		else if (current.request().lendMilliseconds() > 0) {
			this.loanFencing = answer.fencing();
			this.loanEnd = this.offeredLoanEnd;
		}
		current.group().resolve(answer, now);
		this.slices.removeReported(current.request().slices());
		if (answer.sliceTokens() > 0 && !this.left) {
			this.slices.add(answer.sequence(), answer.sliceTokens(),
					current.sentAt() + GrantParameters.SLICE_USABLE_NANOSECONDS);
		}
		if (!this.left) {
			this.allotment.update(answer.allotmentPartsPerMillion(),
					current.sentAt() + GrantParameters.ALLOTMENT_USABLE_NANOSECONDS, now);
		}
		this.lastAnswer = answer;
		this.lastAnswerAt = now;
		return true;
	}

	/** Gives the exchange under way up; its answer will be ignored. */
	public void abandonExchange() {
		Exchange current = this.exchange;
		if (current != null) {
			current.group().resolveUnanswered();
			this.abandoned = true;
			this.exchange = null;
		}
	}

	/**
	 * Returns the sequence of the exchange under way.
	 * @return the sequence, 0 if none is under way
	 */
	public long pendingSequence() {
		return (this.exchange != null) ? this.exchange.sequence() : 0;
	}

	private GrantRequest send(Amounts amounts, long now) {
		GrantAnswer last = this.lastAnswer;
		long fencing = (last != null) ? last.fencing() : 0;
		long mark = (last != null) ? last.mark() : 0;
		long acknowledged = (last != null) ? last.sequence() : 0;
		GrantRequest request = new GrantRequest(this.organisation, ++this.sequence, acknowledged, fencing, mark,
				amounts.lendMilliseconds(), this.slices.toReports(now), this.credits.take(fencing), amounts.minimum(),
				amounts.wanted(), amounts.leaving());
		this.exchange = new Exchange(this.sequence, now, this.group, request);
		this.group = new ReportedCharges(fencing, mark);
		this.lastSentAt = now;
		return request;
	}

	private long lend(long now) {
		GrantAnswer last = this.lastAnswer;
		if (last == null || !this.allotment.isHeld(now)) {
			return 0;
		}
		long lend = this.forecast.isActive(now) ? GrantParameters.ACTIVE_LOAN_MILLISECONDS
				: GrantParameters.IDLE_LOAN_MILLISECONDS;
		long end = this.lastAnswerAt + lend * MILLISECOND;
		if (end <= now) {
			return 0;
		}
		this.offeredLoanEnd = end;
		this.credits.addSince(last, this.allotment.lend(end, now));
		return lend;
	}

	private void giveBackSurplus(long waitingTokens, long now) {
		this.slices.giveBackEndingBefore(now + ENDING_SOON_NANOSECONDS);
		long kept = waitingTokens + this.forecast.expectedTokens(KEPT_NANOSECONDS, now);
		long surplus = this.slices.remainingTokens(now) - kept;
		if (surplus > 0) {
			this.slices.giveBack(surplus, now);
		}
	}

	private long intervalNanoseconds(long minimumTokens, long now) {
		if (minimumTokens > 0 && heldTokens(now) < minimumTokens + this.debtTokens) {
			long wait = (this.lastAnswer != null) ? this.lastAnswer.waitMilliseconds() * MILLISECOND : 0;
			return Math.clamp(wait, GrantParameters.URGENT_INTERVAL_NANOSECONDS,
					GrantParameters.ACTIVE_INTERVAL_NANOSECONDS);
		}
		boolean active = this.forecast.isActive(now) || this.slices.remainingTokens(now) > 0 || !this.credits.isEmpty();
		if (active || isLoanDue(now)) {
			return GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;
		}
		return this.abandoned ? GrantParameters.RETRY_INTERVAL_NANOSECONDS : GrantParameters.IDLE_INTERVAL_NANOSECONDS;
	}

	// The keeper is still to be lent the allotment or to give one.
	private boolean isLoanDue(long now) {
		GrantAnswer last = this.lastAnswer;
		if (this.abandoned || last == null) {
			return false;
		}
		if (this.allotment.isHeld(now)) {
			return this.loanFencing != last.fencing() || this.loanEnd - now < GrantParameters.IDLE_INTERVAL_NANOSECONDS;
		}
		return now - this.keeperSeenAt < GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	private OpenCharge take(long tokens, long now) {
		long fromSlices = Math.min(tokens, this.slices.remainingTokens(now));
		long end = this.slices.spend(fromSlices, now);
		this.group.recordSliceEnd(end);
		TokenBucket bucket = this.allotment.usableBucket(now);
		if (bucket != null && tokens > fromSlices) {
			bucket.tryTake(tokens - fromSlices, now);
		}
		long validUntil = Math.min(end, now + GrantParameters.SLICE_USABLE_NANOSECONDS);
		return new OpenCharge(this.group, bucket, tokens - fromSlices, now, validUntil);
	}

	private void payDebt(long now) {
		long payable = Math.min(this.debtTokens, heldTokens(now));
		if (payable > 0) {
			take(payable, now);
			this.debtTokens -= payable;
		}
	}

	private record Amounts(long lendMilliseconds, long minimum, long wanted, boolean leaving) {
	}

	private record Exchange(long sequence, long sentAt, ReportedCharges group, GrantRequest request) {
	}

	private record OpenCharge(ReportedCharges group, @Nullable TokenBucket bucket, long allotmentTokens, long chargedAt,
			long validUntil) {
	}

}
