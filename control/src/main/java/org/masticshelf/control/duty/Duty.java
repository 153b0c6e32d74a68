package org.masticshelf.control.duty;

import org.jspecify.annotations.Nullable;

/**
 * A duty as one daemon observes it.
 * <p>
 * Invariant: at any instant at most one running daemon has a tenure, because a tenure
 * ends at the local monotonic end of its lease, counted from when the renewal was sent.
 * Implementations are safe for use by several threads.
 */
public interface Duty {

	/**
	 * Returns the name of the duty.
	 * @return for example {@code place/bengal-east}
	 */
	String name();

	/**
	 * Returns this daemon's tenure, checked against the clock at the time of the call.
	 * @return the tenure, or {@code null} unless this daemon certainly holds the duty now
	 */
	@Nullable Tenure tenure();

	/**
	 * Returns the daemon that was last seen holding the duty.
	 * @return the holder, possibly this daemon, or {@code null} if none is known
	 */
	@Nullable Holder holder();

	/**
	 * Adds a listener, called on the thread that observes the change.
	 * @param listener the listener
	 */
	void addListener(Listener listener);

	/**
	 * The right to act as the holder of a duty.
	 *
	 * @param key the key of the duty in the key-value service, for comparing its create
	 * revision in transactions
	 * @param fencing the create revision of the key, higher for each later holder
	 */
	record Tenure(String key, long fencing) {
	}

	/**
	 * The daemon that holds a duty.
	 *
	 * @param incarnation the incarnation of the daemon
	 * @param address the IP number and port of its control listener
	 */
	record Holder(String incarnation, String address) {
	}

	/** Notified when this daemon gains or loses a duty. */
	interface Listener {

		/**
		 * Called after this daemon has gained the duty.
		 * @param tenure the tenure
		 */
		void gained(Tenure tenure);

		/** Called after this daemon has lost the duty. */
		void lost();

	}

}
