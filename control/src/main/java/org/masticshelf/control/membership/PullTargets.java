package org.masticshelf.control.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.masticshelf.control.membership.Members.Member;

/**
 * Chooses the peers from which a daemon pulls, so that no daemon is asked by all others.
 * <p>
 * Within a failure domain the daemons form two trees with the relays at their roots, and
 * a daemon asks its parent in each tree. It also asks one daemon in each of a few other
 * failure domains, a different one each round. Stateless and therefore safe for use by
 * several threads.
 */
public final class PullTargets {

	/** How many daemons ask the same daemon in each tree. */
	public static final int CHILDREN_PER_PARENT = 8;

	/** How many other failure domains are asked in normal operation. */
	public static final int OTHER_DOMAINS = 2;

	private PullTargets() {
	}

	/**
	 * Chooses the daemons to ask.
	 * @param self the daemon that asks
	 * @param members all known daemons in the order of their incarnations
	 * @param relays the incarnations of the daemons that relay the configuration
	 * @param otherDomains how many other failure domains to ask
	 * @param round the number of the round
	 * @return the daemons to ask, without {@code self}
	 */
	public static List<Member> choose(Member self, List<Member> members, Set<String> relays, int otherDomains,
			long round) {
		Set<Member> chosen = new LinkedHashSet<>();
		SortedMap<String, List<Member>> domains = new TreeMap<>();
		members.forEach(
				(member) -> domains.computeIfAbsent(member.failureDomain(), (name) -> new ArrayList<>()).add(member));
		List<Member> own = domains.getOrDefault(self.failureDomain(), List.of());
		chosen.addAll(parents(self, own, relays));
		domains.remove(self.failureDomain());
		List<List<Member>> others = List.copyOf(domains.values());
		int offset = Math.floorMod(self.incarnation().hashCode(), 1 << 20);
		for (int number = 0; number < Math.min(otherDomains, others.size()); number++) {
			List<Member> other = others.get((int) ((offset + round + number) % others.size()));
			chosen.add(other.get((int) ((offset + round / others.size()) % other.size())));
		}
		chosen.removeIf((member) -> member.incarnation().equals(self.incarnation()));
		return List.copyOf(chosen);
	}

	private static Set<Member> parents(Member self, List<Member> domain, Set<String> relays) {
		List<Member> roots = domain.stream().filter((member) -> relays.contains(member.incarnation())).toList();
		List<Member> rest = domain.stream().filter((member) -> !relays.contains(member.incarnation())).toList();
		Set<Member> parents = new LinkedHashSet<>();
		for (int tree = 0; tree < 2; tree++) {
			List<Member> order = new ArrayList<>();
			for (int index = 0; index < roots.size(); index++) {
				order.add(roots.get((index + tree) % roots.size()));
			}
			order.addAll((tree == 0) ? rest : rest.reversed());
			int place = indexOf(self, order);
			if (place > 0) {
				parents.add(order.get((place - 1) / CHILDREN_PER_PARENT));
			}
			else if (order.size() > 1) {
				parents.add(order.get(1));
			}
		}
		return parents;
	}

	private static int indexOf(Member self, List<Member> order) {
		for (int index = 0; index < order.size(); index++) {
			if (order.get(index).incarnation().equals(self.incarnation())) {
				return index;
			}
		}
		return order.size();
	}

}
