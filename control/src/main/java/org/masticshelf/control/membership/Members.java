package org.masticshelf.control.membership;

import java.util.List;

/**
 * The daemons that this daemon knows to be running, including itself.
 * <p>
 * Implementations are safe for use by several threads.
 */
public interface Members {

	/**
	 * Returns this daemon.
	 * @return this daemon as a member
	 */
	Member self();

	/**
	 * Returns all daemons known to be running.
	 * @return the members in the order of their incarnations
	 */
	List<Member> members();

	/**
	 * A running daemon.
	 *
	 * @param incarnation the identifier of this run of the daemon, new at every start
	 * @param instance the identifier of the instance that it runs on
	 * @param address the IP number and port of its control listener
	 * @param failureDomain the failure domain of the daemon
	 */
	record Member(String incarnation, String instance, String address, String failureDomain) {
	}

}
