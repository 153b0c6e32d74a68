package org.masticshelf.control.duty;

/**
 * The duties that this daemon competes for or follows.
 * <p>
 * Implementations are safe for use by several threads.
 */
public interface Duties {

	/**
	 * Makes this daemon compete for a duty. Calls with the same name return the same
	 * duty.
	 * @param name the name, for example {@code grant/3}
	 * @return the duty
	 */
	Duty compete(String name);

	/**
	 * Observes a duty without competing for it.
	 * @param name the name
	 * @return the duty, whose tenure is always {@code null}
	 */
	Duty follow(String name);

}
