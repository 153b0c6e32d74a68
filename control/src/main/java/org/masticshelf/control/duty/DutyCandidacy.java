package org.masticshelf.control.duty;

import java.util.Comparator;
import java.util.List;

import org.masticshelf.control.membership.Members.Member;

/**
 * Decides how long a daemon waits before it competes for a vacant duty.
 * <p>
 * Only the few daemons that rank highest by rendezvous hashing of the duty and the daemon
 * compete for a duty. This distributes duties evenly and keeps a vacancy in a large fleet
 * from causing a write by every daemon. Stateless and therefore safe for use by several
 * threads.
 */
public final class DutyCandidacy {

	/** The number of daemons that compete for a duty. */
	public static final int MAXIMUM_CANDIDATES = 8;

	/** The wait of a daemon that does not compete. */
	public static final long NEVER = -1;

	private static final long WAIT_PER_RANK_MILLISECONDS = 500;

	private static final long WAIT_PER_HELD_DUTY_MILLISECONDS = 50;

	private static final long MAXIMUM_WAIT_MILLISECONDS = 2_000;

	/** The prefix of the name of a relay's duty, followed by the failure domain. */
	static final String RELAY_PREFIX = "relay/";

	private DutyCandidacy() {
	}

	/**
	 * Returns how long a daemon waits once a duty is vacant.
	 * @param duty the name of the duty
	 * @param self the daemon
	 * @param members all known daemons
	 * @param held how many duties the daemon holds
	 * @param relays how many duties of a relay the daemon holds; it lets others have the
	 * next one
	 * @param jitterMilliseconds a random time that is added to the wait
	 * @return the time in milliseconds, {@link #NEVER} if it does not compete
	 */
	public static long waitMilliseconds(String duty, Member self, List<Member> members, int held, int relays,
			long jitterMilliseconds) {
		long ownWeight = weight(duty, self);
		long rank = members.stream()
			.filter((member) -> isEligible(duty, member))
			.filter((member) -> !member.incarnation().equals(self.incarnation()))
			.filter((member) -> Comparator.<Long>naturalOrder().compare(weight(duty, member), ownWeight) > 0)
			.count();
		if (rank >= MAXIMUM_CANDIDATES) {
			return NEVER;
		}
		return Math.min(MAXIMUM_WAIT_MILLISECONDS,
				rank * WAIT_PER_RANK_MILLISECONDS + held * WAIT_PER_HELD_DUTY_MILLISECONDS) + jitterMilliseconds;
	}

	private static boolean isEligible(String duty, Member member) {
		return !duty.startsWith(RELAY_PREFIX) || duty.startsWith(RELAY_PREFIX + member.failureDomain() + "/");
	}

	private static long weight(String duty, Member member) {
		long hash = 0xcbf29ce484222325L;
		String text = duty + "|" + member.incarnation();
		for (int index = 0; index < text.length(); index++) {
			hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
		}
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return hash ^ (hash >>> 33);
	}

}
