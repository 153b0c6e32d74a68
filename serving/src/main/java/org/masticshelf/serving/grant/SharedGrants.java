package org.masticshelf.serving.grant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.share.SharedGrant;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The grants of all organisations as this daemon sees them.
 * <p>
 * While this daemon neither holds its lease nor hears a peer, its peers may count on its
 * share; it then counts as one of many more daemons, so that its share becomes small.
 * Safe for use by several threads.
 */
public final class SharedGrants {

	/** Times by which an isolated daemon's share becomes smaller. */
	private static final int ISOLATED_FACTOR = 4;

	private static final String PRESUMED_PEER = "presumed-";

	private final MonotonicClock clock;

	private final Map<String, SharedGrant> grants = new HashMap<>();

	private final Map<String, ServedOrganisation> limits = new HashMap<>();

	private Set<String> peers = Set.of();

	/**
	 * Creates grants.
	 * @param clock the clock
	 */
	public SharedGrants(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Sets the organisations in force.
	 * @param organisations the organisations
	 */
	public synchronized void setOrganisations(Iterable<ServedOrganisation> organisations) {
		long now = this.clock.milliseconds();
		for (ServedOrganisation organisation : organisations) {
			ServedOrganisation known = this.limits.put(organisation.name(), organisation);
			if (organisation.ratePerSecond() <= 0 || organisation.equals(known)) {
				continue;
			}
			SharedGrant grant = this.grants.get(organisation.name());
			if (grant != null) {
				grant.change(now, organisation.ratePerSecond(), organisation.burst());
			}
			else {
				grant = new SharedGrant(now, organisation.ratePerSecond(), organisation.burst());
				grant.peers(now, this.peers);
				this.grants.put(organisation.name(), grant);
			}
		}
	}

	/**
	 * Sets which peers there are.
	 * @param identifiers the peers' incarnations
	 * @param isolated whether this daemon neither holds its lease nor hears a peer
	 */
	public synchronized void setPeers(Set<String> identifiers, boolean isolated) {
		Set<String> counted = new HashSet<>(identifiers);
		if (isolated) {
			for (int index = 0; index < (ISOLATED_FACTOR - 1) * (identifiers.size() + 1); index++) {
				counted.add(PRESUMED_PEER + index);
			}
		}
		if (!counted.equals(this.peers)) {
			this.peers = Set.copyOf(counted);
			long now = this.clock.milliseconds();
			this.grants.values().forEach((grant) -> grant.peers(now, this.peers));
		}
	}

	/**
	 * Takes in what a peer has spent in total.
	 * @param identifier the peer's incarnation
	 * @param spent what it has spent for each organisation; none means nothing
	 */
	public synchronized void recordPeerSpending(String identifier, Map<String, Double> spent) {
		long now = this.clock.milliseconds();
		this.grants.forEach((name, grant) -> grant.heard(now, identifier, spent.getOrDefault(name, 0.0)));
	}

	/**
	 * Returns what this daemon has spent in total.
	 * @return the sum for each organisation that spent anything
	 */
	public synchronized Map<String, Double> spent() {
		Map<String, Double> spent = new HashMap<>();
		this.grants.forEach((name, grant) -> {
			if (grant.spent() > 0) {
				spent.put(name, grant.spent());
			}
		});
		return spent;
	}

	/**
	 * Spends for a request.
	 * @param organisation the organisation, {@code null} for a request without one
	 * @param cost what it costs
	 * @return 0 if it was spent, else the milliseconds after which to try again
	 */
	public synchronized long spend(@Nullable ServedOrganisation organisation, double cost) {
		SharedGrant grant = grantOf(organisation);
		long now = this.clock.milliseconds();
		if (grant == null || grant.trySpend(now, cost)) {
			return 0;
		}
		return Math.max(1, grant.millisecondsUntil(now, cost));
	}

	/**
	 * Tells how the grant of an organisation stands, for the log.
	 * @param organisation the organisation
	 * @return its level, rate and burst, and how many peers share it
	 */
	public synchronized String describe(@Nullable ServedOrganisation organisation) {
		SharedGrant grant = grantOf(organisation);
		if (grant == null || organisation == null) {
			return "unlimited";
		}
		return "level %.0f, rate %.0f, burst %.0f, peers %d".formatted(grant.level(this.clock.milliseconds()),
				organisation.ratePerSecond(), organisation.burst(), this.peers.size());
	}

	/**
	 * Gives back what was spent for a request that did not run.
	 * @param organisation the organisation, {@code null} for a request without one
	 * @param cost what was spent
	 */
	public synchronized void refund(@Nullable ServedOrganisation organisation, double cost) {
		SharedGrant grant = grantOf(organisation);
		if (grant != null) {
			grant.giveBack(cost);
		}
	}

	private @Nullable SharedGrant grantOf(@Nullable ServedOrganisation organisation) {
		if (organisation == null || organisation.ratePerSecond() <= 0) {
			return null;
		}
		return this.grants.get(organisation.name());
	}

}
