package org.masticshelf.serving.peer;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * What a daemon tells a peer of itself, whole each time, so that a lost message does no
 * harm. Immutable.
 *
 * @param incarnation the daemon's incarnation
 * @param address the IP number and port where it listens for peers
 * @param number grows with each message of the incarnation
 * @param spent what it has spent for each organisation since it started
 * @param running requests that it has running, by endpoint and model or adapter
 * @param waiting what requests wait for at it, told to the placing daemon only
 * @param rates how often each model was asked for at it lately, a second, told to the
 * placing daemon only
 * @param placement what the placing daemon decided, {@code null} from all others
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
@JsonIgnoreProperties(ignoreUnknown = true)
public record PeerMessage(String incarnation, String address, long number, Map<String, Double> spent,
		Map<String, Map<String, Integer>> running, List<Waiting> waiting, Map<String, Double> rates,
		@Nullable Placement placement) {

	/** Creates a message; a missing part is empty. */
	public PeerMessage {
		spent = orEmpty(spent);
		running = orEmpty(running);
		waiting = (waiting != null) ? List.copyOf(waiting) : List.of();
		rates = orEmpty(rates);
	}

	private static <V> Map<String, V> orEmpty(@Nullable Map<String, V> map) {
		return (map != null) ? Map.copyOf(map) : Map.of();
	}

	/**
	 * Returns this message with other estimates in its placement.
	 * @param readyIn when what the receiver waits for will be ready
	 * @return the message, unchanged if it carries no placement
	 */
	public PeerMessage withEstimates(Map<String, Long> readyIn) {
		Placement decided = this.placement;
		return (decided != null) ? new PeerMessage(this.incarnation, this.address, this.number, this.spent,
				this.running, this.waiting, this.rates, new Placement(decided.fencing(), decided.engines(), readyIn))
				: this;
	}

	/**
	 * Requests that wait for a loadable.
	 *
	 * @param pool the pool
	 * @param loadable the model or adapter
	 * @param count how many
	 * @param oldest how long the oldest has waited, milliseconds
	 * @param objective how long until the latency objective of the one that has most of
	 * it left, milliseconds, negative once all have missed theirs
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Waiting(String pool, String loadable, int count, long oldest, long objective) {
	}

	/**
	 * What the placing daemon decided.
	 *
	 * @param fencing the fencing number of its tenure
	 * @param engines what engines hold, all or those that have changed
	 * @param readyIn when what the receiver waits for will be ready, milliseconds, by
	 * pool and model or adapter
	 */
	@JsonInclude(JsonInclude.Include.NON_EMPTY)
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Placement(long fencing, List<Engine> engines, Map<String, Long> readyIn) {

		/** Creates a placement; a missing part is empty. */
		public Placement {
			engines = (engines != null) ? List.copyOf(engines) : List.of();
			readyIn = orEmpty(readyIn);
		}

	}

	/**
	 * What an engine holds.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param startedAt the run of the endpoint
	 * @param orders how many orders it has taken
	 * @param loaded the adapters of each loaded model
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Engine(String endpoint, long startedAt, long orders, Map<String, List<String>> loaded) {
	}

}
