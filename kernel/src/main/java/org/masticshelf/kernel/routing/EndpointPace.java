package org.masticshelf.kernel.routing;

/**
 * What answers have shown of the time that an endpoint takes to read prompts and to
 * generate output.
 * <p>
 * Load pattern: engines of different speed, each of them slower for short spells.
 * Observations decay exponentially. Invariant: an observation of half a second among
 * steady ones changes the times by no more than its share of the last few seconds.
 * Immutable.
 *
 * @param reading the time from sending requests to their first events, by prompt tokens
 * that were to be read
 * @param output the time between events, by their number
 * @param step the time between events, by their number and the requests running
 * @param observations the observations since the pace was last forgotten
 * @param at when the latest observation was made, monotonic milliseconds
 */
public record EndpointPace(Observed reading, Observed output, Observed step, long observations, long at) {

	/** Nothing is known. */
	public static final EndpointPace NONE = new EndpointPace(Observed.NONE, Observed.NONE, Observed.NONE, 0, 0);

	/**
	 * The time after which an observation counts half. Spells of slowness last about 0.6
	 * s and must not stick; the speed of an engine stays.
	 */
	static final double HALF_LIFE_MILLISECONDS = 4_000;

	/** The weight below which earlier observations are forgotten. */
	private static final double FORGOTTEN_WEIGHT = 0.02;

	/**
	 * Learns from the first event of an answer.
	 * @param now the monotonic time in milliseconds
	 * @param milliseconds the time since the request was sent
	 * @param tokens the prompt tokens that the endpoint had to read before
	 * @return what is known now
	 */
	public EndpointPace learnReading(long now, double milliseconds, double tokens) {
		EndpointPace aged = aged(now);
		return new EndpointPace(aged.reading.plus(milliseconds, tokens), aged.output, aged.step, aged.observations + 1,
				now);
	}

	/**
	 * Learns from events of an answer that has begun.
	 * @param now the monotonic time in milliseconds
	 * @param milliseconds the time that they took
	 * @param events their number
	 * @param requests the requests running at the endpoint
	 * @return what is known now
	 */
	public EndpointPace learnOutput(long now, double milliseconds, double events, int requests) {
		EndpointPace aged = aged(now);
		return new EndpointPace(aged.reading, aged.output.plus(milliseconds, events),
				aged.step.plus(milliseconds, events * Math.max(1, requests)), aged.observations + 1, now);
	}

	/**
	 * Returns the pace with its observations weighted by their age.
	 * @param now the monotonic time in milliseconds
	 * @return the pace, {@link #NONE} if it has been forgotten
	 */
	public EndpointPace aged(long now) {
		double factor = Math.pow(2, -Math.max(0, now - this.at) / HALF_LIFE_MILLISECONDS);
		if (weight() * factor < FORGOTTEN_WEIGHT) {
			return NONE;
		}
		return new EndpointPace(this.reading.times(factor), this.output.times(factor), this.step.times(factor),
				this.observations, now);
	}

	/**
	 * Returns how much is known.
	 * @return the number of observations, weighted by their age
	 */
	public double weight() {
		return this.reading.weight() + this.output.weight();
	}

	/**
	 * Observations of one kind. Immutable.
	 *
	 * @param milliseconds the sum of their times
	 * @param work the sum of the work done in these times
	 * @param weight their number
	 */
	public record Observed(double milliseconds, double work, double weight) {

		/** No observations. */
		static final Observed NONE = new Observed(0, 0, 0);

		private Observed plus(double moreMilliseconds, double moreWork) {
			return new Observed(this.milliseconds + Math.max(0, moreMilliseconds), this.work + Math.max(1, moreWork),
					this.weight + 1);
		}

		private Observed times(double factor) {
			return new Observed(this.milliseconds * factor, this.work * factor, this.weight * factor);
		}

		/**
		 * Returns the time for a unit of work.
		 * @return the time in milliseconds, 0 if unknown
		 */
		double rate() {
			return (this.work > 0) ? this.milliseconds / this.work : 0;
		}

	}

}
