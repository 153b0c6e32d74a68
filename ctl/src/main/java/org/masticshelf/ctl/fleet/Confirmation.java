package org.masticshelf.ctl.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Where an accepted revision is in force.
 * <p>
 * It counts as in force when every daemon that answered runs it and these daemons lie in
 * a majority of the failure domains: a daemon without contact to that majority refuses
 * requests with a key by itself. Immutable.
 *
 * @param revision the accepted revision
 * @param statuses what the daemons answered last
 */
public record Confirmation(long revision, List<DaemonStatus> statuses) {

	/**
	 * Creates a confirmation.
	 */
	public Confirmation {
		statuses = List.copyOf(statuses);
	}

	/**
	 * Returns whether the revision is in force.
	 * @return whether all running daemons of a majority of the failure domains confirm it
	 * and none that answered runs an older one
	 */
	public boolean inForce() {
		boolean older = this.statuses.stream()
			.anyMatch((status) -> status.answer() != null && status.revision() < this.revision);
		return !older && hasMajority();
	}

	/**
	 * Returns the daemons that do not confirm the revision.
	 * @return their addresses
	 */
	public List<String> missing() {
		return this.statuses.stream()
			.filter((status) -> status.revision() < this.revision)
			.map(DaemonStatus::address)
			.toList();
	}

	/**
	 * Returns this confirmation for people.
	 * @return one line
	 */
	public String toLine() {
		String accepted = "accepted as revision " + this.revision;
		if (this.statuses.isEmpty()) {
			return accepted + ", not confirmed to be in force: no daemon was named";
		}
		List<String> missing = missing();
		if (inForce()) {
			String rest = missing.isEmpty() ? "" : "; no answer from " + String.join(", ", missing);
			return accepted + ", in force" + rest;
		}
		return accepted + ", not yet in force on " + String.join(", ", missing);
	}

	// One daemon does not speak for its domain: another one of it may be cut off and be
	// the one whose word a third daemon takes.
	private boolean hasMajority() {
		Set<String> domains = new HashSet<>();
		Set<String> confirming = new HashSet<>();
		Set<String> behind = new HashSet<>();
		for (DaemonStatus status : this.statuses) {
			domains.addAll(status.failureDomains());
			if (status.answer() == null) {
				continue;
			}
			domains.add(status.failureDomain());
			confirming.add(status.failureDomain());
			if (!isConfirmedByAll(status)) {
				behind.add(status.failureDomain());
			}
		}
		confirming.removeAll(behind);
		return !confirming.isEmpty() && confirming.size() * 2 > domains.size();
	}

	private boolean isConfirmedByAll(DaemonStatus known) {
		Set<String> running = new HashSet<>(known.domainMembers());
		running.add(known.address());
		return running.stream().allMatch(this::isConfirmedBy);
	}

	private boolean isConfirmedBy(String address) {
		return this.statuses.stream()
			.anyMatch((status) -> status.address().equals(address) && status.revision() >= this.revision);
	}

}
