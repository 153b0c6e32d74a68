package org.masticshelf.kernel.grant;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Accounts for the tokens that one daemon may spend for one organisation, and prepares
 * its requests to the keeper.
 * <p>
 * Invariant: tokens come only from slices that have not expired and from the allotment
 * while it is not on loan. At most one exchange is pending, and only its own answer is
 * accepted, so that late and duplicate answers bring no tokens. A charge is settled at
 * most once. Not thread-safe.
 */
public final class DaemonAccount {

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final long REQUEST_HORIZON_NANOSECONDS = 2 * GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;

	private static final long RETENTION_HORIZON_NANOSECONDS = 4 * GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;

	private static final long EARLY_RETURN_NANOSECONDS = 500 * NANOSECONDS_PER_MILLISECOND;

	private static final long CONTACT_TIMEOUT_NANOSECONDS = 1_000 * NANOSECONDS_PER_MILLISECOND;

	private static final long MAXIMUM_RETRY_NANOSECONDS = 60_000 * NANOSECONDS_PER_MILLISECOND;

	private final QualifiedName organisation;

	private final HeldSlices slices = new HeldSlices();

	private final DaemonAllotment allotment;

	private final DemandForecast forecast;

	private final Map<Long, OpenCharge> openCharges = new HashMap<>();

	private final PendingCredits pendingCredits = new PendingCredits();

	private GrantLimits limits;

	private ReportedCharges reportedCharges = new ReportedCharges(0, 0);

	private @Nullable Exchange pendingExchange;

	private @Nullable GrantAnswer lastAnswer;

	private long lastAnswerAt;

	private long lastSentAt;

	private long lastSequence;

	private long lastChargeNumber;

	private long debtTokens;

	private long keeperFirstSeenAt;

	private long loanFencing;

	private long offeredLoanEnd;

	private long loanEnd;

	private boolean lastExchangeAbandoned;

	private boolean closed;

	/**
	 * Creates the account of a newly started daemon, without tokens.
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
	 * Changes the limits from now on, without refilling.
	 * @param newLimits the limits
	 * @param now the time in nanoseconds
	 */
	public void changeLimits(GrantLimits newLimits, long now) {
		this.limits = newLimits;
		this.allotment.changeLimits(newLimits, now);
	}

	/**
	 * Records the demand of a request, once for each request.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 */
	public void recordDemand(long tokens, long now) {
		this.forecast.add(tokens, now);
	}

	/**
	 * Charges tokens if this daemon holds them.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the outcome
	 */
	public ChargeOutcome charge(long tokens, long now) {
		if (tokens > this.limits.burstTokens()) {
			return new ChargeOutcome.Excessive(tokens, this.limits.burstTokens());
		}
		payDebt(now);
		if (this.closed || this.debtTokens > 0 || heldTokens(now) < tokens) {
			return new ChargeOutcome.Insufficient(tokens, Math.max(0, earliestAvailableAt(tokens, now) - now));
		}
		OpenCharge charge = takeTokens(Math.max(0, tokens), now);
		this.openCharges.put(++this.lastChargeNumber, charge);
		return new ChargeOutcome.Charged(this.lastChargeNumber, tokens, charge.validUntil());
	}

	/**
	 * Settles a charge with the tokens that were used. Unused tokens are credited as far
	 * as the buckets would not have overflowed in the meantime; tokens used beyond the
	 * charge become a debt.
	 * @param charged the charge; settling it again has no effect
	 * @param usedTokens the tokens that were used, 0 if the request was not dispatched
	 * @param now the time in nanoseconds
	 */
	public void settle(ChargeOutcome.Charged charged, long usedTokens, long now) {
		OpenCharge charge = this.openCharges.remove(charged.number());
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
		this.pendingCredits.add(charge.group(), unused - toAllotment);
	}

	/**
	 * Returns the tokens that can be charged now.
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	public long heldTokens(long now) {
		TokenBucket bucket = this.allotment.usableBucket(now);
		return this.slices.remainingTokens(now) + ((bucket != null) ? bucket.level(now) : 0);
	}

	/**
	 * Returns the earliest time at which tokens can be available, as far as the daemon
	 * knows; while the keeper does not answer, it is optimistically the present.
	 * @param tokens the tokens, including those of requests ahead in the queue
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long earliestAvailableAt(long tokens, long now) {
		long missing = tokens + this.debtTokens - heldTokens(now);
		GrantAnswer answer = this.lastAnswer;
		if (missing <= 0 || answer == null || !isInContact(now)) {
			return now;
		}
		long shortfall = missing - answer.availableTokens();
		if (shortfall <= 0) {
			return now;
		}
		if (answer.tokensPerSecond() == 0) {
			return Long.MAX_VALUE;
		}
		long availableAt = this.lastAnswerAt
				+ shortfall * 1_000 / answer.tokensPerSecond() * NANOSECONDS_PER_MILLISECOND;
		return Math.max(now, availableAt);
	}

	/**
	 * Returns whether the keeper has answered recently.
	 * @param now the time in nanoseconds
	 * @return whether its last answer still tells when tokens become available
	 */
	public boolean isInContact(long now) {
		return this.lastAnswer != null && now - this.lastAnswerAt <= CONTACT_TIMEOUT_NANOSECONDS;
	}

	/**
	 * Returns how long a refused caller should wait before it retries.
	 * @param tokens the tokens that the caller lacks, including those of requests ahead
	 * in the queue
	 * @param now the time in nanoseconds
	 * @return the wait in nanoseconds, at least a second while the keeper does not answer
	 */
	public long retryAfter(long tokens, long now) {
		if (isInContact(now)) {
			return Math.max(NANOSECONDS_PER_MILLISECOND, earliestAvailableAt(tokens, now) - now);
		}
		long availableAt = this.allotment.availableAt(tokens, now);
		return Math.clamp(availableAt - now, CONTACT_TIMEOUT_NANOSECONDS, MAXIMUM_RETRY_NANOSECONDS);
	}

	/**
	 * Returns when the next exchange with the keeper is due.
	 * @param minimumTokens the tokens that the first waiting request needs, 0 if none
	 * waits
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, {@link Long#MAX_VALUE} while one is pending
	 */
	public long nextExchangeAt(long minimumTokens, long now) {
		if (this.pendingExchange != null) {
			return Long.MAX_VALUE;
		}
		return this.lastSentAt + exchangeIntervalNanoseconds(minimumTokens, now);
	}

	/**
	 * Begins an exchange; none may be pending.
	 * @param minimumTokens the tokens that the first waiting request needs, 0 if none
	 * waits
	 * @param waitingTokens the tokens that all waiting requests need together
	 * @param now the time in nanoseconds, before the request is sent
	 * @return the request to send
	 */
	public GrantRequest beginExchange(long minimumTokens, long waitingTokens, long now) {
		if (this.pendingExchange != null) {
			throw new IllegalStateException("an exchange for " + this.organisation + " is already pending");
		}
		payDebt(now);
		long lend = lendAllotment(now);
		returnSurplus(waitingTokens, now);
		long held = heldTokens(now);
		long minimum = (minimumTokens > 0) ? Math.max(0, minimumTokens + this.debtTokens - held) : 0;
		long expected = this.forecast.expectedTokens(REQUEST_HORIZON_NANOSECONDS, now);
		long wanted = Math.max(minimum, waitingTokens + this.debtTokens + expected - held);
		return createRequest(new Amounts(lend, minimum, wanted, false), now);
	}

	/**
	 * Begins the last exchange, which returns all tokens; nothing can be charged
	 * afterwards.
	 * @param now the time in nanoseconds
	 * @return the request to send
	 */
	public GrantRequest beginLeaving(long now) {
		abandonExchange();
		this.closed = true;
		this.slices.returnTokens(Long.MAX_VALUE, now);
		this.allotment.update(0, now, now);
		return createRequest(new Amounts(0, 0, 0, true), now);
	}

	/**
	 * Accepts the answer to the pending exchange.
	 * @param answer the answer; that of any other exchange is ignored
	 * @param now the time in nanoseconds
	 * @return whether it was accepted
	 */
	public boolean acceptAnswer(GrantAnswer answer, long now) {
		Exchange current = this.pendingExchange;
		GrantAnswer last = this.lastAnswer;
		if (current == null || current.sequence() != answer.sequence()) {
			return false;
		}
		if (last != null && answer.fencing() < last.fencing()) {
			return false;
		}
		this.pendingExchange = null;
		this.lastExchangeAbandoned = false;
		if (last == null || last.fencing() != answer.fencing()) {
			this.keeperFirstSeenAt = now;
		}
		else if (current.request().lendMilliseconds() > 0) {
			this.loanFencing = answer.fencing();
			this.loanEnd = this.offeredLoanEnd;
		}
		current.group().resolve(answer, now);
		this.slices.removeReported(current.request().slices());
		if (answer.sliceTokens() > 0 && !this.closed) {
			this.slices.add(answer.sequence(), answer.sliceTokens(),
					current.sentAt() + GrantParameters.SLICE_USABLE_NANOSECONDS);
		}
		if (!this.closed) {
			this.allotment.update(answer.allotmentPartsPerMillion(),
					current.sentAt() + GrantParameters.ALLOTMENT_USABLE_NANOSECONDS, now);
		}
		this.lastAnswer = answer;
		this.lastAnswerAt = now;
		return true;
	}

	/** Abandons the pending exchange; its answer will be ignored. */
	public void abandonExchange() {
		Exchange current = this.pendingExchange;
		if (current != null) {
			current.group().resolveUnanswered();
			this.lastExchangeAbandoned = true;
			this.pendingExchange = null;
		}
	}

	/**
	 * Returns the sequence of the pending exchange.
	 * @return the sequence, 0 if none is pending
	 */
	public long pendingSequence() {
		return (this.pendingExchange != null) ? this.pendingExchange.sequence() : 0;
	}

	private GrantRequest createRequest(Amounts amounts, long now) {
		GrantAnswer last = this.lastAnswer;
		long fencing = (last != null) ? last.fencing() : 0;
		long mark = (last != null) ? last.mark() : 0;
		long acknowledged = (last != null) ? last.sequence() : 0;
		GrantRequest request = new GrantRequest(this.organisation, ++this.lastSequence, acknowledged, fencing, mark,
				amounts.lendMilliseconds(), this.slices.toReports(now), this.pendingCredits.take(fencing),
				amounts.minimum(), amounts.wanted(), amounts.leaving());
		this.pendingExchange = new Exchange(this.lastSequence, now, this.reportedCharges, request);
		this.reportedCharges = new ReportedCharges(fencing, mark);
		this.lastSentAt = now;
		return request;
	}

	private long lendAllotment(long now) {
		GrantAnswer last = this.lastAnswer;
		if (last == null || !this.allotment.isHeld(now)) {
			return 0;
		}
		long lend = this.forecast.isActive(now) ? GrantParameters.ACTIVE_LOAN_MILLISECONDS
				: GrantParameters.IDLE_LOAN_MILLISECONDS;
		long end = this.lastAnswerAt + lend * NANOSECONDS_PER_MILLISECOND;
		if (end <= now) {
			return 0;
		}
		this.offeredLoanEnd = end;
		this.pendingCredits.addSince(last, this.allotment.lend(end, now));
		return lend;
	}

	private void returnSurplus(long waitingTokens, long now) {
		this.slices.returnEndingBefore(now + EARLY_RETURN_NANOSECONDS);
		long retained = waitingTokens + this.forecast.expectedTokens(RETENTION_HORIZON_NANOSECONDS, now);
		long surplus = this.slices.remainingTokens(now) - retained;
		if (surplus > 0) {
			this.slices.returnTokens(surplus, now);
		}
	}

	private long exchangeIntervalNanoseconds(long minimumTokens, long now) {
		if (minimumTokens > 0 && heldTokens(now) < minimumTokens + this.debtTokens) {
			long wait = (this.lastAnswer != null) ? this.lastAnswer.waitMilliseconds() * NANOSECONDS_PER_MILLISECOND
					: 0;
			return Math.clamp(wait, GrantParameters.URGENT_INTERVAL_NANOSECONDS,
					GrantParameters.ACTIVE_INTERVAL_NANOSECONDS);
		}
		boolean active = this.forecast.isActive(now) || this.slices.remainingTokens(now) > 0
				|| !this.pendingCredits.isEmpty();
		if (active || isLoanDue(now)) {
			return GrantParameters.ACTIVE_INTERVAL_NANOSECONDS;
		}
		return this.lastExchangeAbandoned ? GrantParameters.RETRY_INTERVAL_NANOSECONDS
				: GrantParameters.IDLE_INTERVAL_NANOSECONDS;
	}

	// The keeper has yet to be lent the allotment, or to assign one.
	private boolean isLoanDue(long now) {
		GrantAnswer last = this.lastAnswer;
		if (this.lastExchangeAbandoned || last == null) {
			return false;
		}
		if (this.allotment.isHeld(now)) {
			return this.loanFencing != last.fencing() || this.loanEnd - now < GrantParameters.IDLE_INTERVAL_NANOSECONDS;
		}
		return now - this.keeperFirstSeenAt < GrantParameters.ACTIVITY_TIMEOUT_NANOSECONDS;
	}

	private OpenCharge takeTokens(long tokens, long now) {
		long fromSlices = Math.min(tokens, this.slices.remainingTokens(now));
		long end = this.slices.spend(fromSlices, now);
		this.reportedCharges.recordSliceEnd(end);
		TokenBucket bucket = this.allotment.usableBucket(now);
		if (bucket != null && tokens > fromSlices) {
			bucket.tryTake(tokens - fromSlices, now);
		}
		long validUntil = Math.min(end, now + GrantParameters.SLICE_USABLE_NANOSECONDS);
		return new OpenCharge(this.reportedCharges, bucket, tokens - fromSlices, now, validUntil);
	}

	private void payDebt(long now) {
		long payable = Math.min(this.debtTokens, heldTokens(now));
		if (payable > 0) {
			takeTokens(payable, now);
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
