package org.masticshelf.kernel.freshness;

import java.util.SortedSet;
import java.util.TreeSet;

import org.masticshelf.kernel.event.Event;

/**
 * Represents how far a daemon may trust what it knows about withdrawn keys.
 * <p>
 * Implementations are immutable.
 */
public sealed interface FreshnessDecision {

	/** How long a confirmation is trusted, in milliseconds. */
	long CONFIRMATION_LIFETIME_MILLISECONDS = 3_000;

	/** How long a peer's report is trusted, in milliseconds. */
	long REPORT_LIFETIME_MILLISECONDS = 2_000;

	/**
	 * Decides from what a daemon knows.
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
		boolean othersKnowMore = false;
		for (PeerReport report : facts.reports()) {
			if (report.askedMillisecondsAgo() >= REPORT_LIFETIME_MILLISECONDS) {
				continue;
			}
			othersKnowMore |= report.reachesService() || report.revision() > facts.revision();
			if (report.vouched()) {
				silent.remove(report.failureDomain());
			}
		}
		int answeringDomains = facts.failureDomains().size() - silent.size();
		boolean hasMajority = 2 * answeringDomains > facts.failureDomains().size();
		return (hasMajority && !othersKnowMore) ? new PresumedOutage(answeringDomains)
				: new Isolated(silent, othersKnowMore);
	}

	/**
	 * Returns whether requests with a key may run.
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
	 * Signals that the revision was confirmed recently as the head.
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
	 * Signals that a majority of failure domains answers and that no peer reaches the
	 * key-value service or has a newer revision.
	 *
	 * @param domains the number of answering failure domains, including this daemon's
	 */
	record PresumedOutage(int domains) implements FreshnessDecision {

		@Override
		public Event toEvent() {
			return Event.named("freshness.presumed_outage").with("domains", this.domains);
		}

	}

	/**
	 * Signals that a key may have been withdrawn without this daemon knowing.
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
