package org.masticshelf.kernel.freshness;

import java.util.SortedSet;
import java.util.TreeSet;

import org.masticshelf.kernel.event.Event;

/**
 * How far a daemon may trust what it knows about withdrawn keys.
 * <p>
 * Implementations are immutable.
 */
public sealed interface FreshnessDecision {

	/** A confirmation is trusted for this long, in milliseconds. */
	long CONFIRMATION_LIFETIME_MILLISECONDS = 3_000;

	/** A peer's report is trusted for this long, in milliseconds. */
	long REPORT_LIFETIME_MILLISECONDS = 2_000;

	/**
	 * Decides.
	 * @param facts what the daemon knows
	 * @return the decision
	 */
	static FreshnessDecision of(FreshnessFacts facts) {
		if (facts.confirmedMillisecondsAgo() < CONFIRMATION_LIFETIME_MILLISECONDS) {
			return new Fresh(facts.confirmedMillisecondsAgo());
		}
		SortedSet<String> silent = new TreeSet<>(facts.failureDomains());
		if (facts.vouched()) {
			silent.remove(facts.failureDomain());
		}
		boolean others = false;
		for (PeerReport report : facts.reports()) {
			if (report.askedMillisecondsAgo() >= REPORT_LIFETIME_MILLISECONDS) {
				continue;
			}
			others |= report.reachesService() || report.revision() > facts.revision();
			if (report.vouched()) {
				silent.remove(report.failureDomain());
			}
		}
		int answering = facts.failureDomains().size() - silent.size();
		boolean majority = 2 * answering > facts.failureDomains().size();
		return (majority && !others) ? new PresumedOutage(answering) : new Isolated(silent, others);
	}

	/**
	 * Returns whether requests that came with a key may run.
	 * @return whether keys may be trusted
	 */
	default boolean permitsKeys() {
		return !(this instanceof Isolated);
	}

	/**
	 * Returns the log event of this decision.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The revision was the head lately.
	 *
	 * @param ageMilliseconds the age of the confirmation
	 */
	record Fresh(long ageMilliseconds) implements FreshnessDecision {

		@Override
		public Event toEvent() {
			return Event.named("freshness.fresh").with("age_milliseconds", this.ageMilliseconds);
		}

	}

	/**
	 * A majority of failure domains answers and none of them reaches the key-value
	 * service.
	 *
	 * @param domains how many failure domains answer, this daemon's included
	 */
	record PresumedOutage(int domains) implements FreshnessDecision {

		@Override
		public Event toEvent() {
			return Event.named("freshness.presumed_outage").with("domains", this.domains);
		}

	}

	/**
	 * Others may have withdrawn a key.
	 *
	 * @param silent the failure domains that do not answer or cannot vouch for their
	 * revision
	 * @param othersKnowMore whether a peer reaches the service or has a newer revision
	 */
	record Isolated(SortedSet<String> silent, boolean othersKnowMore) implements FreshnessDecision {

		@Override
		public Event toEvent() {
			return Event.named("freshness.isolated")
				.with("silent_domains", String.join(",", this.silent))
				.with("others_know_more", this.othersKnowMore);
		}

	}

}
