package org.masticshelf.serving.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.ServiceTimeEstimate;
import org.masticshelf.kernel.serving.LoadableName;
import org.masticshelf.kernel.serving.ServedEndpoint;

/**
 * Learns how long requests run, for each pool, model and endpoint.
 * <p>
 * Invariant: at most {@value #MAXIMUM_ENTRIES} estimates are kept, those used last.
 * Thread-safe.
 */
public final class ServiceTimes {

	private static final int MAXIMUM_ENTRIES = 1_024;

	private final Map<String, ServiceTimeEstimate> estimates = new LinkedHashMap<>(16, 0.75F, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServiceTimeEstimate> eldest) {
			return size() > MAXIMUM_ENTRIES;
		}

	};

	/**
	 * Records a complete answer to a request.
	 * @param endpoint the endpoint
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param outputTokens the maximum number of tokens of the answer, negative if unknown
	 * @param startMilliseconds how long the endpoint took to begin the answer
	 * @param wholeMilliseconds how long it took in all
	 */
	public synchronized void record(ServedEndpoint endpoint, @Nullable LoadableName loadable, long outputTokens,
			long startMilliseconds, long wholeMilliseconds) {
		for (String key : new String[] { poolKey(endpoint.pool()), modelKey(endpoint.pool(), loadable),
				endpointKey(endpoint) }) {
			this.estimates.put(key, ServiceTimeEstimate.learn(this.estimates.get(key), startMilliseconds,
					wholeMilliseconds, outputTokens));
		}
	}

	/**
	 * Estimates how long a request may run.
	 * @param pool its pool
	 * @param loadable the model or adapter, {@code null} for a plain call
	 * @param outputTokens the maximum number of tokens of the answer, negative if unknown
	 * @param endpoint the endpoint to which it would be sent, {@code null} if unknown
	 * @param limitMilliseconds how long it may run at most
	 * @return the time in milliseconds, the limit if nothing is known
	 */
	public synchronized long estimate(String pool, @Nullable LoadableName loadable, long outputTokens,
			@Nullable ServedEndpoint endpoint, long limitMilliseconds) {
		ServiceTimeEstimate ofModel = this.estimates.get(modelKey(pool, loadable));
		ServiceTimeEstimate known = (ofModel != null) ? ofModel : this.estimates.get(poolKey(pool));
		ServiceTimeEstimate there = (endpoint != null) ? this.estimates.get(endpointKey(endpoint)) : null;
		if (known == null) {
			return limitMilliseconds;
		}
		long slowest = Math.max(known.milliseconds(outputTokens),
				(there != null) ? there.milliseconds(outputTokens) : 0);
		return Math.min(slowest, limitMilliseconds);
	}

	private static String poolKey(String pool) {
		return "pool " + pool;
	}

	private static String modelKey(String pool, @Nullable LoadableName loadable) {
		return "model " + pool + " " + ((loadable != null) ? loadable.model() : "none");
	}

	private static String endpointKey(ServedEndpoint endpoint) {
		return "endpoint " + endpoint.identifier();
	}

}
