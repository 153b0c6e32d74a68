package org.masticshelf.kernel.grant;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What the keeper of an organisation's grant knows during one tenure.
 * <p>
 * Invariant: the level of the bucket, the slices outstanding and the burst shares of the
 * allotments that are not on loan add up to no more than the burst, and the rate of the
 * bucket and the rate shares of those allotments to no more than the rate. A new ledger
 * is empty and counts the whole burst as lent by its predecessor for the life of a slice.
 * A request is answered at most once. Not safe for use by several threads.
 */
public final class KeeperLedger {

	private static final String PREDECESSOR = "";

	private final long fencing;

	private final long startedAt;

	private final OutstandingSlices slices = new OutstandingSlices();

	private final WaitQueue turns = new WaitQueue();

	private final Map<String, Long> lastSequences = new HashMap<>();

	private final AllotmentTable allotments;

	private final TokenBucket bucket;

	private GrantLimits limits;

	private long updatedAt;

	/**
	 * Creates the ledger of a new tenure.
	 * @param limits the rate and burst of the organisation
	 * @param fencing the fencing number of the tenure
	 * @param written the allotments in the key-value service, read during this tenure
	 * @param reservePartsPerMillion the share of the grant kept for allotments
	 * @param now the time in nanoseconds
	 */
	public KeeperLedger(GrantLimits limits, long fencing, Collection<Allotment> written, long reservePartsPerMillion,
			long now) {
		this.limits = limits;
		this.fencing = fencing;
		this.startedAt = now;
		this.updatedAt = now;
		this.allotments = new AllotmentTable(written, reservePartsPerMillion, now);
		this.bucket = new TokenBucket(limits, now);
		if (limits.burstTokens() > 0) {
			this.slices.add(PREDECESSOR, 0, limits.burstTokens(), now + GrantParameters.SLICE_LIFETIME_NANOSECONDS);
		}
		resize(now);
	}

	/**
	 * Changes the limits from now on without refilling.
	 * @param newLimits the limits
	 * @param now the time in nanoseconds
	 */
	public void changeLimits(GrantLimits newLimits, long now) {
		advance(now);
		this.limits = newLimits;
		resize(this.updatedAt);
	}

	/**
	 * Answers a request.
	 * @param sender the daemon that sent it
	 * @param request the request
	 * @param slots over how many daemons the reserve is divided
	 * @param now the time in nanoseconds, within the tenure
	 * @return the answer, or {@code null} if the request is a duplicate or was overtaken
	 * by a later one, and must not be answered
	 */
	public @Nullable GrantAnswer answer(GrantRequest.Sender sender, GrantRequest request, int slots, long now) {
		if (request.sequence() <= this.lastSequences.getOrDefault(sender.incarnation(), 0L)) {
			return null;
		}
		this.lastSequences.put(sender.incarnation(), request.sequence());
		advance(now);
		return answerNew(sender, request, slots, this.updatedAt);
	}

	private GrantAnswer answerNew(GrantRequest.Sender sender, GrantRequest request, int slots, long now) {
		String holder = sender.incarnation();
		boolean sameKeeper = request.fencing() == this.fencing && isOwnMark(request.mark(), now);
		settleSlices(holder, request, now);
		if (sameKeeper) {
			applyLoanAndCredits(holder, request, now);
		}
		if (request.leaving()) {
			leave(holder, now);
			return answerOf(request, 0, 0, 0, now);
		}
		this.allotments.allocate(sender, sameKeeper ? request.mark() : Long.MIN_VALUE, slots, now);
		resize(now);
		long given = give(holder, request, now);
		long wait = (request.minimumTokens() > given) ? waitOf(holder, request, now) : 0;
		return answerOf(request, given, this.allotments.renew(holder, now), wait, now);
	}

	/**
	 * Returns the allotments that have to be written before new ones may be used.
	 * @return all allotments, or {@code null} if nothing has to be written
	 */
	public @Nullable List<Allotment> pollAllotmentsToWrite() {
		return this.allotments.pollAllotmentsToWrite();
	}

	/**
	 * Notes that allotments were written under this tenure.
	 * @param written what {@link #pollAllotmentsToWrite} returned
	 */
	public void confirmWritten(Collection<Allotment> written) {
		this.allotments.confirmWritten(written);
	}

	/** Asks for another write after one that failed or is in doubt. */
	public void retryWrite() {
		this.allotments.retryWrite();
	}

	/**
	 * Returns the tokens that could be given now.
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	public long availableTokens(long now) {
		advance(now);
		return this.bucket.level(now);
	}

	private void settleSlices(String holder, GrantRequest request, long now) {
		long returned = this.slices.reclaim(holder, request.acknowledged(), request.sequence());
		for (GrantRequest.SliceReport report : request.slices()) {
			returned += this.slices.applyReport(holder, report);
		}
		resize(now);
		this.bucket.add(returned, now);
	}

	private void applyLoanAndCredits(String holder, GrantRequest request, long now) {
		long lend = Math.clamp(request.lendMilliseconds(), 0, GrantParameters.IDLE_LOAN_MILLISECONDS);
		this.allotments.lend(holder, request.mark() + lend * 1_000_000L, now);
		resize(now);
		for (GrantRequest.Credit credit : request.credits()) {
			if (isOwnMark(credit.mark(), request.mark())) {
				this.bucket.credit(credit.tokens(), credit.mark(), now);
			}
		}
	}

	private boolean isOwnMark(long mark, long latest) {
		return mark >= this.startedAt && mark <= latest;
	}

	private void leave(String holder, long now) {
		this.allotments.release(holder);
		this.turns.remove(holder);
		resize(now);
	}

	private long give(String holder, GrantRequest request, long now) {
		long available = this.bucket.level(now) - this.turns.tokensAhead(holder, now);
		long minimum = Math.max(0, request.minimumTokens());
		if (available < Math.max(1, minimum)) {
			this.turns.enqueue(holder, (minimum <= rest().burstTokens()) ? minimum : 0, now);
			return 0;
		}
		this.turns.remove(holder);
		long surplus = Math.max(0, request.wantedTokens() - minimum);
		long given = minimum + Math.min(surplus, (available - minimum) / 2);
		if (given > 0) {
			this.bucket.tryTake(given, now);
			this.slices.add(holder, request.sequence(), given, now + GrantParameters.SLICE_LIFETIME_NANOSECONDS);
			resize(now);
		}
		return given;
	}

	private long waitOf(String holder, GrantRequest request, long now) {
		long tokens = request.minimumTokens() + this.turns.tokensAhead(holder, now);
		long rate = rest().tokensPerSecond();
		if (rate == 0 || request.minimumTokens() > rest().burstTokens()) {
			return -1;
		}
		long missing = Math.max(1, tokens - this.bucket.level(now));
		return missing * 1_000 / rate + 1;
	}

	private GrantAnswer answerOf(GrantRequest request, long given, long allotment, long wait, long now) {
		return new GrantAnswer(request.organisation(), request.sequence(), this.fencing, now, given, allotment,
				this.bucket.level(now), rest().tokensPerSecond(), wait);
	}

	private void advance(long now) {
		long next = nextChange();
		while (next <= now) {
			this.bucket.advance(next);
			this.slices.expire(next);
			this.allotments.expire(next);
			resize(next);
			next = nextChange();
		}
		this.updatedAt = Math.max(this.updatedAt, now);
		this.bucket.advance(this.updatedAt);
	}

	private long nextChange() {
		return Math.min(this.slices.nextEndAt(), this.allotments.nextChangeAt());
	}

	private GrantLimits rest() {
		return this.limits.withoutShare(this.allotments.withheldPartsPerMillion());
	}

	private void resize(long now) {
		GrantLimits rest = rest();
		this.bucket.resize(rest.tokensPerSecond(), rest.burstTokens() - this.slices.outstandingTokens(), now);
	}

}
