package org.masticshelf.serving.grant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedOrganisation;
import org.masticshelf.kernel.share.SharedTokenBucket;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * This daemon's view of the grants of all organisations.
 * <p>
 * While this daemon neither holds its lease nor receives messages from a peer, the peers
 * may use up its share. It then assumes that there are many more daemons, so that its
 * share becomes small. Thread-safe.
 */
public final class SharedGrants {

	/** The divisor of an isolated daemon's share. */
	private static final int ISOLATED_SHARE_DIVISOR = 4;

	private static final String PRESUMED_PEER_PREFIX = "presumed-";

	private final MonotonicClock clock;

	private final Map<String, SharedTokenBucket> grants = new HashMap<>();

	private final Map<String, ServedOrganisation> organisations = new HashMap<>();

	private Set<String> peers = Set.of();

	/**
	 * Creates an empty set of grants.
	 * @param clock the clock
	 */
	public SharedGrants(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Sets the current organisations.
	 * @param organisations the organisations
	 */
	public synchronized void setOrganisations(Iterable<ServedOrganisation> organisations) {
		long now = this.clock.milliseconds();
		for (ServedOrganisation organisation : organisations) {
			ServedOrganisation previous = this.organisations.put(organisation.name(), organisation);
			if (organisation.ratePerSecond() <= 0 || organisation.equals(previous)) {
				continue;
			}
			SharedTokenBucket grant = this.grants.get(organisation.name());
			if (grant != null) {
				grant.setLimits(now, organisation.ratePerSecond(), organisation.burst());
			}
			else {
				grant = new SharedTokenBucket(now, organisation.ratePerSecond(), organisation.burst());
				grant.setPeers(now, this.peers);
				this.grants.put(organisation.name(), grant);
			}
		}
	}

	/**
	 * Sets the peers that share the grants.
	 * @param identifiers the incarnations of the peers
	 * @param isolated whether this daemon neither holds its lease nor receives messages
	 * from a peer
	 */
	public synchronized void setPeers(Set<String> identifiers, boolean isolated) {
		Set<String> countedPeers = new HashSet<>(identifiers);
		if (isolated) {
			for (int index = 0; index < (ISOLATED_SHARE_DIVISOR - 1) * (identifiers.size() + 1); index++) {
				countedPeers.add(PRESUMED_PEER_PREFIX + index);
			}
		}
		if (!countedPeers.equals(this.peers)) {
			this.peers = Set.copyOf(countedPeers);
			long now = this.clock.milliseconds();
			this.grants.values().forEach((grant) -> grant.setPeers(now, this.peers));
		}
	}

	/**
	 * Records the total that a peer has spent.
	 * @param identifier the incarnation of the peer
	 * @param spent the total for each organisation; a missing one counts as zero
	 */
	public synchronized void recordPeerSpending(String identifier, Map<String, Double> spent) {
		long now = this.clock.milliseconds();
		this.grants.forEach((name, grant) -> grant.recordPeerSpending(now, identifier, spent.getOrDefault(name, 0.0)));
	}

	/**
	 * Returns the total that this daemon has spent.
	 * @return the total for each organisation with spending
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
	 * Spends the cost of a request if the grant covers it.
	 * @param organisation the organisation, {@code null} for a request without one
	 * @param cost the cost of the request
	 * @return 0 if the cost was spent, otherwise the milliseconds after which to retry
	 */
	public synchronized long spend(@Nullable ServedOrganisation organisation, double cost) {
		SharedTokenBucket grant = grantOf(organisation);
		long now = this.clock.milliseconds();
		if (grant == null || grant.trySpend(now, cost)) {
			return 0;
		}
		return Math.max(1, grant.millisecondsUntilAvailable(now, cost));
	}

	/**
	 * Describes the state of an organisation's grant for the log.
	 * @param organisation the organisation
	 * @return the level, rate and burst of the grant, and the number of peers that share
	 * it
	 */
	public synchronized String describe(@Nullable ServedOrganisation organisation) {
		SharedTokenBucket grant = grantOf(organisation);
		if (grant == null || organisation == null) {
			return "unlimited";
		}
		return "level %.0f, rate %.0f, burst %.0f, peers %d".formatted(grant.level(this.clock.milliseconds()),
				organisation.ratePerSecond(), organisation.burst(), this.peers.size());
	}

	/**
	 * Refunds the cost of a request that did not run.
	 * @param organisation the organisation, {@code null} for a request without one
	 * @param cost the cost that was spent
	 */
	public synchronized void refund(@Nullable ServedOrganisation organisation, double cost) {
		SharedTokenBucket grant = grantOf(organisation);
		if (grant != null) {
			grant.refund(cost);
		}
	}

	private @Nullable SharedTokenBucket grantOf(@Nullable ServedOrganisation organisation) {
		if (organisation == null || organisation.ratePerSecond() <= 0) {
			return null;
		}
		return this.grants.get(organisation.name());
	}

}
