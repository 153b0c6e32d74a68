package org.masticshelf.kernel.admission;

/**
 * Assigns the times at which callers that were turned away may return.
 * <p>
 * Addresses callers that return at the announced time: with the same time for all, they
 * arrive together and most of them are turned away again. Each caller gets a position of
 * its own; the positions of a daemon are as far apart as all daemons together can admit
 * one request each, and daemons with different phases use different moments. Immutable.
 *
 * @param lastAt the time given to the last caller, in milliseconds
 */
public record ReturnOrder(long lastAt) {

	/** The order in which no caller has a position. */
	public static final ReturnOrder EMPTY = new ReturnOrder(0);

	/**
	 * The time over which returns are spread. Not all callers return, so that positions
	 * further ahead would leave slots unused.
	 */
	private static final long MAXIMUM_SPREAD_MILLISECONDS = 10_000;

	/**
	 * Gives the next position.
	 * @param now the current time in milliseconds
	 * @param expectedMilliseconds the time until there is room
	 * @param intervalMilliseconds the time in which one slot becomes free
	 * @param daemons the number of daemons that turn callers away
	 * @param phase the phase of this daemon, from 0 to below 1
	 * @return the order whose last time is that of the caller
	 */
	public ReturnOrder next(long now, long expectedMilliseconds, double intervalMilliseconds, int daemons,
			double phase) {
		long step = Math.max(1, (long) Math.ceil(intervalMilliseconds * daemons));
		long earliest = now + expectedMilliseconds;
		boolean wraps = this.lastAt + step > earliest + MAXIMUM_SPREAD_MILLISECONDS;
		long from = wraps ? earliest : Math.max(earliest, this.lastAt + 1);
		long offset = (long) (phase * step);
		return new ReturnOrder(from + Math.floorMod(offset - from, step));
	}

}
