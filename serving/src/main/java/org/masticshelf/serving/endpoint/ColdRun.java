package org.masticshelf.serving.endpoint;

import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.serving.ColdStart;
import org.masticshelf.kernel.share.ColdStatement;
import org.masticshelf.kernel.share.LimitShare;
import org.masticshelf.kernel.share.SharedTokenBucket;
import org.masticshelf.serving.endpoint.EndpointLimits.Availability;
import org.masticshelf.serving.peer.PeerMessage.StatedLimit;

/**
 * What {@link ColdEndpoints} knows of one run of an endpoint: the statement that counts,
 * a presumption that the endpoint is cold, and this daemon's share.
 * <p>
 * Invariant: the share starts empty whenever the endpoint turns cold. Not thread-safe.
 */
final class ColdRun {

	/** How long requests wait for entries that are read again after a gap. */
	private static final long READING_MILLISECONDS = 1_000;

	/**
	 * How long after a gap an entry without a sign of cold is not relied on. Peers tell
	 * within this time of endpoints that turned cold without a change of their entry.
	 */
	private static final long HEARING_MILLISECONDS = 500;

	private static final long READING_CHECK_MILLISECONDS = 100;

	private @Nullable ColdStatement statement;

	private long presumedAt = Long.MIN_VALUE;

	private long presumedUntil = Long.MIN_VALUE;

	private boolean presumedAfterGap;

	private @Nullable ColdStart coldStart;

	private LimitShare share = LimitShare.NONE;

	private SharedTokenBucket bucket;

	private boolean reported;

	ColdRun(long now) {
		this.bucket = new SharedTokenBucket(now, 0, 0);
	}

	/**
	 * Decodes what a peer passes on.
	 * @param report the report of the peer
	 * @param now the monotonic time in milliseconds
	 * @return the statement, {@code null} if it does not say whether the endpoint is cold
	 */
	static @Nullable ColdStatement decode(StatedLimit report, long now) {
		Long remaining = report.coldRemaining();
		Long age = report.coldAge();
		if (remaining == null || age == null || remaining < 0 || age < 0) {
			return null;
		}
		return new ColdStatement(ColdStatement.Source.PEER, now - age, (remaining > 0) ? now + remaining : now - age);
	}

	/**
	 * Adds what peers are told, which is only what the endpoint has said in an answer.
	 * They read the rest themselves.
	 * @param run identifies the run of the endpoint
	 * @param reports the reports by run of the endpoint
	 * @param now the monotonic time in milliseconds
	 */
	void addReport(String run, Map<String, StatedLimit> reports, long now) {
		ColdStatement current = this.statement;
		if (current != null && current.source().isFromEndpoint()) {
			StatedLimit limit = reports.getOrDefault(run, StatedLimit.NONE);
			reports.put(run, new StatedLimit(limit.requestsPerSecond(), limit.age(),
					Math.max(0, current.coldUntil() - now), now - current.statedAt()));
		}
	}

	/**
	 * Replaces the statement, and the presumption unless the statement is passed on by a
	 * peer, who may have heard it before the reason for the presumption.
	 * @param received the statement
	 * @param now the monotonic time in milliseconds
	 * @return whether the endpoint has turned cold or warm by what is stated, rather than
	 * presumed
	 */
	boolean state(ColdStatement received, long now) {
		boolean wasCold = isCold(now);
		if (received.source() == ColdStatement.Source.ENTRY && !received.isCold(now) && isPresumedAfterGap(now)) {
			this.presumedUntil = Math.min(this.presumedUntil, now + HEARING_MILLISECONDS);
		}
		else if (received.source() != ColdStatement.Source.PEER) {
			this.presumedUntil = Long.MIN_VALUE;
		}
		ColdStatement before = this.statement;
		boolean replaced = before == null || before.yieldsTo(received);
		if (replaced) {
			this.statement = received;
		}
		emptyShareIfTurnedCold(wasCold, now);
		return replaced && (before != null && before.isCold(now)) != received.isCold(now);
	}

	/**
	 * Presumes that the endpoint is cold.
	 * @param until until when, unless it or its entry says otherwise
	 * @param afterGap whether the reason is a gap in the rounds of this daemon
	 * @param now the monotonic time in milliseconds
	 */
	void presume(long until, boolean afterGap, long now) {
		boolean wasCold = isCold(now);
		this.presumedAfterGap = afterGap;
		this.presumedAt = now;
		this.presumedUntil = until;
		emptyShareIfTurnedCold(wasCold, now);
	}

	boolean isPresumedAfterGap(long now) {
		return this.presumedAfterGap && now < this.presumedUntil;
	}

	boolean isCold(long now) {
		return now < coldUntil();
	}

	/**
	 * Returns until when the endpoint is cold.
	 * @return the monotonic time in milliseconds, in the past if it is warm
	 */
	long coldUntil() {
		long stated = (this.statement != null) ? this.statement.coldUntil() : Long.MIN_VALUE;
		return Math.max(stated, this.presumedUntil);
	}

	/**
	 * Returns when there was news of the endpoint.
	 * @return the monotonic time in milliseconds
	 */
	long newsAt() {
		long stated = (this.statement != null) ? this.statement.statedAt() : Long.MIN_VALUE;
		return Math.max(stated, this.presumedAt);
	}

	@Nullable ColdStart coldStart() {
		return this.coldStart;
	}

	/**
	 * Takes a request from this daemon's share.
	 * @param now the monotonic time in milliseconds
	 * @return whether the request may be sent now
	 */
	boolean tryTake(long now) {
		return !this.share.equals(LimitShare.NONE) && this.bucket.trySpend(now, 1);
	}

	/**
	 * Returns when this daemon may send a request, at the latest when the endpoint is
	 * warm. A daemon without a share waits for entries that are about to be read again.
	 * @param now the monotonic time in milliseconds
	 * @param ahead the requests that wait here for the same
	 * @param notBefore when this daemon may use its shares, monotonic milliseconds
	 * @return when a request may be sent
	 */
	Availability availability(long now, int ahead, long notBefore) {
		long warmIn = coldUntil() - now;
		if (this.share.equals(LimitShare.NONE)) {
			if (isPresumedAfterGap(now) && now - this.presumedAt < READING_MILLISECONDS) {
				return new Availability(true, READING_CHECK_MILLISECONDS);
			}
			double tolerated = (this.coldStart != null) ? this.coldStart.requestsPerSecond() : 1;
			return new Availability(false, Math.min(warmIn, (long) Math.ceil(1_000 / tolerated)));
		}
		long next = Math.max(notBefore - now, this.bucket.millisecondsUntilAvailable(now, 1));
		long behindOthers = (long) Math.ceil(ahead * 1_000 / this.share.ratePerSecond());
		return new Availability(true, Math.min(warmIn, next + behindOthers));
	}

	/**
	 * Sets this daemon's share.
	 * @param now the monotonic time in milliseconds
	 * @param tolerated what the endpoint tolerates
	 * @param newShare the share of it
	 */
	void setShare(long now, ColdStart tolerated, LimitShare newShare) {
		this.coldStart = tolerated;
		this.share = newShare;
		this.bucket.setLimits(now, newShare.ratePerSecond(), newShare.burst());
	}

	/** Makes the share be computed again, because the daemons have changed. */
	void forgetShare() {
		this.coldStart = null;
	}

	/**
	 * Describes why the endpoint is cold.
	 * @param run identifies the run of the endpoint
	 * @param now the monotonic time in milliseconds
	 * @return the event
	 */
	Event event(String run, long now) {
		ColdStatement current = this.statement;
		String source = (current != null) ? current.source().name().toLowerCase(Locale.ROOT) : "none";
		if (current == null || !current.isCold(now)) {
			source = this.presumedAfterGap ? "gap" : "taken_back";
		}
		return Event.named("endpoint.cold")
			.with("endpoint", run)
			.with("remaining_ms", coldUntil() - now)
			.with("source", source)
			.with("age_ms", now - newsAt())
			.with("share", this.share.ratePerSecond());
	}

	/**
	 * Records whether the log has said that the endpoint is cold.
	 * @param cold whether the endpoint is cold
	 * @return whether the log has said otherwise so far
	 */
	boolean report(boolean cold) {
		boolean news = cold != this.reported;
		this.reported = cold;
		return news;
	}

	private void emptyShareIfTurnedCold(boolean wasCold, long now) {
		if (!wasCold && isCold(now)) {
			this.bucket = new SharedTokenBucket(now, 0, 0);
			this.coldStart = null;
		}
	}

}
