package org.masticshelf.kernel.grant;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Accounts for an organisation's grant at its keeper during one tenure.
 * <p>
 * Invariant: the level of the bucket, the outstanding slices and the burst shares of the
 * allotments that are not on loan add up to no more than the burst; the rate of the
 * bucket and the rate shares of those allotments add up to no more than the rate. A new
 * ledger is empty and assumes for the lifetime of a slice that its predecessor has given
 * out the whole burst. A request is answered at most once. Not thread-safe.
 */
public final class KeeperLedger {

	private static final String PREDECESSOR = "";

	private final long fencing;

	private final long startedAt;

	private final OutstandingSlices slices = new OutstandingSlices();

	private final WaitQueue waitQueue = new WaitQueue();

	private final Map<String, Long> lastSequences = new HashMap<>();

	private final AllotmentTable allotments;

	private final TokenBucket bucket;

	private GrantLimits limits;

	private long updatedAt;

	/**
	 * Creates the ledger of a new tenure.
	 * @param limits the rate and burst of the organisation
	 * @param fencing the fencing number of the tenure
	 * @param written the allotments read from the key-value service during this tenure
	 * @param reservePartsPerMillion the share of the grant reserved for allotments
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
	 * Changes the limits from now on, without refilling.
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
	 * @param slots the number of daemons that share the reserve
	 * @param now the time in nanoseconds, within the tenure
	 * @return the answer, or {@code null} if the request is a duplicate or older than one
	 * that was answered, and must not be answered
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
		boolean sameKeeper = request.fencing() == this.fencing && isTenureMark(request.mark(), now);
		settleSlices(holder, request, now);
		if (sameKeeper) {
			applyLoanAndCredits(holder, request, now);
		}
		if (request.leaving()) {
			removeDaemon(holder, now);
			return createAnswer(request, 0, 0, 0, now);
		}
		this.allotments.allocate(sender, sameKeeper ? request.mark() : Long.MIN_VALUE, slots, now);
		resize(now);
		long given = giveSlice(holder, request, now);
		long wait = (request.minimumTokens() > given) ? waitMilliseconds(holder, request, now) : 0;
		return createAnswer(request, given, this.allotments.renew(holder, now), wait, now);
	}

	/**
	 * Returns the allotments if they have changed since the last call; new ones must not
	 * be used before they are written.
	 * @return all allotments, or {@code null} if none has changed
	 */
	public @Nullable List<Allotment> pollAllotmentsToWrite() {
		return this.allotments.pollAllotmentsToWrite();
	}

	/**
	 * Records that allotments were written under this tenure.
	 * @param written what {@link #pollAllotmentsToWrite} returned
	 */
	public void confirmWritten(Collection<Allotment> written) {
		this.allotments.confirmWritten(written);
	}

	/** Requests another write after one that failed or whose outcome is unknown. */
	public void retryWrite() {
		this.allotments.retryWrite();
	}

	/**
	 * Returns the tokens that can be given out now.
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
			if (isTenureMark(credit.mark(), request.mark())) {
				this.bucket.credit(credit.tokens(), credit.mark(), now);
			}
		}
	}

	private boolean isTenureMark(long mark, long latest) {
		return mark >= this.startedAt && mark <= latest;
	}

	private void removeDaemon(String holder, long now) {
		this.allotments.release(holder);
		this.waitQueue.remove(holder);
		resize(now);
	}

	private long giveSlice(String holder, GrantRequest request, long now) {
		long available = this.bucket.level(now) - this.waitQueue.tokensAhead(holder, now);
		long minimum = Math.max(0, request.minimumTokens());
		if (available < Math.max(1, minimum)) {
			this.waitQueue.enqueue(holder, (minimum <= bucketLimits().burstTokens()) ? minimum : 0, now);
			return 0;
		}
		this.waitQueue.remove(holder);
		long surplus = Math.max(0, request.wantedTokens() - minimum);
		long given = minimum + Math.min(surplus, (available - minimum) / 2);
		if (given > 0) {
			this.bucket.tryTake(given, now);
			this.slices.add(holder, request.sequence(), given, now + GrantParameters.SLICE_LIFETIME_NANOSECONDS);
			resize(now);
		}
		return given;
	}

	private long waitMilliseconds(String holder, GrantRequest request, long now) {
		long tokens = request.minimumTokens() + this.waitQueue.tokensAhead(holder, now);
		long rate = bucketLimits().tokensPerSecond();
		if (rate == 0 || request.minimumTokens() > bucketLimits().burstTokens()) {
			return -1;
		}
		long missing = Math.max(1, tokens - this.bucket.level(now));
		return missing * 1_000 / rate + 1;
	}

	private GrantAnswer createAnswer(GrantRequest request, long given, long allotment, long wait, long now) {
		return new GrantAnswer(request.organisation(), request.sequence(), this.fencing, now, given, allotment,
				this.bucket.level(now), bucketLimits().tokensPerSecond(), wait);
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

	private GrantLimits bucketLimits() {
		return this.limits.withoutShare(this.allotments.withheldPartsPerMillion());
	}

	private void resize(long now) {
		GrantLimits bucketLimits = bucketLimits();
		this.bucket.resize(bucketLimits.tokensPerSecond(), bucketLimits.burstTokens() - this.slices.outstandingTokens(),
				now);
	}

}
