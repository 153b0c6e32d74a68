package org.masticshelf.serving.peer;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The state that a daemon sends to a peer. Each message repeats the full state, so that a
 * lost one does no harm. Immutable.
 *
 * @param incarnation the daemon's incarnation
 * @param address the IP address and port on which it listens for peers
 * @param number the sequence number, which increases with each message of the incarnation
 * @param spent the tokens spent for each organisation since the daemon started
 * @param running the number of its running requests by endpoint and model or adapter
 * @param waiting what its requests wait for; sent only to the placing daemon
 * @param rates its recent requests per second for each model; sent only to the placing
 * daemon
 * @param unserved the models and adapters that it could not serve; sent only to the
 * placing daemon
 * @param placement the placement, {@code null} unless the sender is the placing daemon
 * @param limits the limits that endpoints state, by run of the endpoint
 * @param crashEvidence what it knows about requests that crash endpoints; sent to a few
 * peers at a time
 * @param queued its requests that wait for slots, for each pool that is ordered by cost
 * @param backlog the prompt tokens of its requests without a first event by endpoint,
 * only positive ones
 * @param paces what it learned of the time that endpoints take, in hundredths of that of
 * their pool's median
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
@JsonIgnoreProperties(ignoreUnknown = true)
public record PeerMessage(String incarnation, String address, long number, Map<String, Double> spent,
		Map<String, Map<String, Integer>> running, List<Waiting> waiting, Map<String, Double> rates,
		List<Unserved> unserved, @Nullable Placement placement, Map<String, StatedLimit> limits,
		@Nullable CrashEvidence crashEvidence, List<QueuedWork> queued, Map<String, Long> backlog,
		Map<String, Integer> paces) {

	/** Creates a message in which missing parts are empty. */
	public PeerMessage {
		spent = orEmpty(spent);
		running = orEmpty(running);
		waiting = (waiting != null) ? List.copyOf(waiting) : List.of();
		rates = orEmpty(rates);
		unserved = (unserved != null) ? List.copyOf(unserved) : List.of();
		limits = orEmpty(limits);
		queued = (queued != null) ? List.copyOf(queued) : List.of();
		backlog = orEmpty(backlog);
		paces = orEmpty(paces);
	}

	/**
	 * Creates a message of a daemon without requests that wait for slots, backlog and
	 * paces.
	 * @param incarnation the daemon's incarnation
	 * @param address the IP address and port on which it listens for peers
	 * @param number the sequence number
	 * @param spent the tokens spent for each organisation
	 * @param running the number of its running requests
	 * @param waiting what its requests wait for
	 * @param rates its recent requests per second for each model
	 * @param unserved the models and adapters that it could not serve
	 * @param placement the placement, {@code null} unless the sender places
	 * @param limits the limits that endpoints state
	 * @param crashEvidence what it knows about requests that crash endpoints
	 */
	public PeerMessage(String incarnation, String address, long number, Map<String, Double> spent,
			Map<String, Map<String, Integer>> running, List<Waiting> waiting, Map<String, Double> rates,
			List<Unserved> unserved, @Nullable Placement placement, Map<String, StatedLimit> limits,
			@Nullable CrashEvidence crashEvidence) {
		this(incarnation, address, number, spent, running, waiting, rates, unserved, placement, limits, crashEvidence,
				List.of(), Map.of(), Map.of());
	}

	private static <V> Map<String, V> orEmpty(@Nullable Map<String, V> map) {
		return (map != null) ? Map.copyOf(map) : Map.of();
	}

	/**
	 * The requests of one kind that wait for slots of a pool.
	 *
	 * @param pool the pool
	 * @param priority their priority, 0 is the highest; the last kind of a pool may stand
	 * for lower ones, too
	 * @param inTime whether they can still meet their objective
	 * @param count the number of requests
	 * @param work their tokens of prompt and output
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record QueuedWork(String pool, int priority, boolean inTime, int count, long work) {
	}

	/**
	 * A limit that an endpoint stated.
	 *
	 * @param requestsPerSecond the requests a second that it takes from all daemons
	 * together, {@code null} if it states no limit any more
	 * @param age how long ago it did so, in milliseconds
	 * @param coldRemaining how long it is still cold, in milliseconds, 0 if it has become
	 * warm, {@code null} if it did not say
	 * @param coldAge how long ago it said so, in milliseconds
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record StatedLimit(@Nullable Double requestsPerSecond, long age, @Nullable Long coldRemaining,
			@Nullable Long coldAge) {

		/**
		 * No statement about a limit. Its age makes receivers discard it, also those that
		 * take a missing limit for the end of one.
		 */
		public static final StatedLimit NONE = new StatedLimit(null, 60_000);

		/**
		 * Creates a statement about a limit alone.
		 * @param requestsPerSecond the limit, {@code null} if there is none any more
		 * @param age how long ago the endpoint stated it, in milliseconds
		 */
		public StatedLimit(@Nullable Double requestsPerSecond, long age) {
			this(requestsPerSecond, age, null, null);
		}

	}

	/**
	 * What a daemon knows about requests that crash endpoints.
	 *
	 * @param crashes the crashes that it saw or learned from peers
	 * @param answered how long ago it saw an answer to a request with a fingerprint
	 * begin, in milliseconds by fingerprint
	 */
	@JsonInclude(JsonInclude.Include.NON_EMPTY)
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record CrashEvidence(List<Crash> crashes, Map<String, Long> answered) {

		/** Creates evidence in which missing parts are empty. */
		public CrashEvidence {
			crashes = (crashes != null) ? List.copyOf(crashes) : List.of();
			answered = orEmpty(answered);
		}

	}

	/**
	 * The end of a run of an endpoint.
	 *
	 * @param run identifies the run of the endpoint
	 * @param address the IP address and port of the endpoint
	 * @param age how long ago it ended, in milliseconds
	 * @param fingerprints the positions of the shared segments of the prompts that broke
	 * with it, and of the whole requests behind them
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Crash(String run, String address, long age,
			@JsonProperty("segments") Map<String, Integer> fingerprints) {

		/** Creates a crash in which missing parts are empty. */
		public Crash {
			fingerprints = orEmpty(fingerprints);
		}

	}

	/**
	 * The requests that wait for a model or adapter.
	 *
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @param count the number of requests
	 * @param oldest how long the oldest request has waited, in milliseconds
	 * @param objective the longest time left until the latency objective of any of the
	 * requests, in milliseconds, negative once all have missed theirs
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Waiting(String pool, String loadable, int count, long oldest, long objective) {
	}

	/**
	 * The requests for a model or adapter that had no endpoint, since the sender last
	 * served one for it.
	 *
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @param count the number of requests
	 * @param oldest how long ago the first of them ended, in milliseconds
	 * @param newest how long ago the last of them ended, in milliseconds
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Unserved(String pool, String loadable, int count, long oldest, long newest) {
	}

	/**
	 * The decisions of the placing daemon.
	 *
	 * @param fencing the fencing number of its tenure
	 * @param engines the holdings of all engines, or of those that have changed
	 * @param readyIn the milliseconds until what the receiver waits for is ready, by pool
	 * and model or adapter
	 */
	@JsonInclude(JsonInclude.Include.NON_EMPTY)
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Placement(long fencing, List<Engine> engines, Map<String, Long> readyIn) {

		/** Creates a placement in which missing parts are empty. */
		public Placement {
			engines = (engines != null) ? List.copyOf(engines) : List.of();
			readyIn = orEmpty(readyIn);
		}

		/**
		 * Returns a copy with other estimates.
		 * @param estimates the time until each model or adapter is ready that the
		 * receiver waits for
		 * @return the copy
		 */
		public Placement withEstimates(Map<String, Long> estimates) {
			return new Placement(this.fencing, this.engines, estimates);
		}

	}

	/**
	 * The holdings of an engine.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param startedAt when the endpoint was started
	 * @param orders the number of orders that it has accepted
	 * @param loaded the adapters of each loaded model
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Engine(String endpoint, long startedAt, long orders, Map<String, List<String>> loaded) {
	}

}
