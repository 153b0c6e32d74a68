package org.masticshelf.serving.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.control.membership.Members.Member;

/**
 * Selects the members that count as running peers of a daemon.
 * <p>
 * When many daemons are killed and restarted at once, the key-value service lists each
 * instance twice until the leases of the old incarnations expire. Without the selection,
 * an incarnation that has ended would still take its share of every grant.
 * <p>
 * Relies on an instance running at most one daemon at a time. Stateless and thread-safe.
 */
public final class PeerSelection {

	private PeerSelection() {
	}

	/**
	 * Returns the peers that may be running, leaving out superseded incarnations.
	 * @param self this daemon
	 * @param members all daemons that hold a lease
	 * @param recent the incarnations that have sent messages recently
	 * @return the address of each by its incarnation
	 */
	public static Map<String, String> select(Member self, List<Member> members, Set<String> recent) {
		Map<String, String> peers = new HashMap<>();
		for (Member member : members) {
			if (!member.instance().equals(self.instance()) && !isSuperseded(member, members, recent)) {
				peers.put(member.incarnation(), member.address());
			}
		}
		return peers;
	}

	private static boolean isSuperseded(Member member, List<Member> members, Set<String> recent) {
		return !recent.contains(member.incarnation()) && members.stream()
			.anyMatch((other) -> other.instance().equals(member.instance()) && recent.contains(other.incarnation()));
	}

}
