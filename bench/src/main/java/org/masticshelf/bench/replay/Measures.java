package org.masticshelf.bench.replay;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What one system did with a trace.
 * <p>
 * Immutable.
 *
 * @param system the name of the system
 * @param requests how many requests arrived
 * @param dropped how many were neither answered nor refused
 * @param late how many got their answer or refusal after their deadline
 * @param coldRequests how many found nothing loaded that serves them
 * @param coldStart the time of those until an endpoint ran them
 * @param smallColdStart the same for small organisations
 * @param idleAcceleratorHours accelerator hours taken by what nobody used
 * @param worstShareInTime the least share of an organisation's requests inside its rate
 * that was answered in time
 * @param sharesInTime the shares by organisation
 * @param wrongfulRefusals refused requests that were inside the rate
 * @param refusalsOfModerate refused requests of organisations that had sent no more than
 * their rate and burst in all
 * @param tokensAboveGrant the most tokens by which an organisation exceeded its grant
 * @param mostRemoteLoads the most loads from the weight store at once
 * @param refusals the refusals by reason
 */
public record Measures(String system, int requests, int dropped, int late, int coldRequests, Percentiles coldStart,
		Percentiles smallColdStart, double idleAcceleratorHours, double worstShareInTime,
		Map<String, Double> sharesInTime, int wrongfulRefusals, int refusalsOfModerate, double tokensAboveGrant,
		int mostRemoteLoads, Map<String, Integer> refusals) {

	/**
	 * Percentiles of a time.
	 *
	 * @param median the median in milliseconds
	 * @param ninetyFifth the 95th percentile in milliseconds
	 * @param ninetyNinth the 99th percentile in milliseconds
	 */
	public record Percentiles(long median, long ninetyFifth, long ninetyNinth) {

		static Percentiles of(Histogram histogram) {
			return new Percentiles(histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(95),
					histogram.getValueAtPercentile(99));
		}

	}

}
