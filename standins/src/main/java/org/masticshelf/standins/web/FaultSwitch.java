package org.masticshelf.standins.web;

import java.util.EnumMap;
import java.util.Map;

/**
 * Faults that were asked for and how often each is still to strike.
 * <p>
 * Invariant: a fault strikes exactly as often as it was asked for. Safe for use by
 * several threads under its own lock.
 *
 * @param <F> the faults
 */
public final class FaultSwitch<F extends Enum<F>> {

	private final Class<F> type;

	private final Map<F, Integer> remaining;

	/**
	 * Creates a switch without faults.
	 * @param type the faults
	 */
	public FaultSwitch(Class<F> type) {
		this.type = type;
		this.remaining = new EnumMap<>(type);
	}

	/**
	 * Asks for a fault.
	 * @param name the name of the fault
	 * @param count how often it is to strike, 0 to take it back
	 */
	public void ask(String name, int count) {
		synchronized (this.remaining) {
			this.remaining.put(Enum.valueOf(this.type, name), count);
		}
	}

	/**
	 * Returns whether a fault strikes now, and counts it.
	 * @param fault the fault
	 * @return whether it strikes
	 */
	public boolean strikes(F fault) {
		synchronized (this.remaining) {
			int left = this.remaining.getOrDefault(fault, 0);
			if (left > 0) {
				this.remaining.put(fault, left - 1);
			}
			return left > 0;
		}
	}

}
