package org.masticshelf.serving.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.control.membership.Members.Member;

/**
 * Tells which daemons a daemon has to count with.
 * <p>
 * Load pattern: many daemons are killed and started again at once. Until the leases of
 * the runs before have ended, the key-value service names each instance twice, and a run
 * that is over would be taken to use its share of every grant.
 * <p>
 * Invariant: an instance runs one daemon at a time. Stateless and safe for use by several
 * threads.
 */
public final class PeerSelection {

	private PeerSelection() {
	}

	/**
	 * Returns the peers that may be running.
	 * @param self this daemon
	 * @param members all daemons that hold a lease
	 * @param heard the incarnations that were heard lately
	 * @return the address of each by its incarnation
	 */
	public static Map<String, String> select(Member self, List<Member> members, Set<String> heard) {
		Map<String, String> peers = new HashMap<>();
		for (Member member : members) {
			if (!member.instance().equals(self.instance()) && !isSuperseded(member, members, heard)) {
				peers.put(member.incarnation(), member.address());
			}
		}
		return peers;
	}

	private static boolean isSuperseded(Member member, List<Member> members, Set<String> heard) {
		return !heard.contains(member.incarnation()) && members.stream()
			.anyMatch((other) -> other.instance().equals(member.instance()) && heard.contains(other.incarnation()));
	}

}
