package org.masticshelf.serving.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Remembers which shared parts of prompts endpoints have recently read for this daemon,
 * so that they do not count as work there.
 * <p>
 * Invariant: at most {@value #MAXIMUM_ENTRIES} are remembered, those read last.
 * Thread-safe.
 */
public final class ReadPrompts {

	private static final int MAXIMUM_ENTRIES = 1_024;

	/**
	 * How long a shared part counts as read. Demand moves to other models within about
	 * this time, and engines then drop what they have read.
	 */
	private static final long RETENTION_MILLISECONDS = 8_000;

	private final MonotonicClock clock;

	private final Map<Key, Long> readAt = new LinkedHashMap<>(16, 0.75F, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
			return size() > MAXIMUM_ENTRIES;
		}

	};

	/**
	 * Creates an empty memory.
	 * @param clock the clock
	 */
	public ReadPrompts(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records that an endpoint has read the prompt of a request.
	 * @param endpoint the endpoint
	 * @param sharedPrompt identifies the shared part of the prompt, empty for none
	 */
	public synchronized void record(ServedEndpoint endpoint, String sharedPrompt) {
		if (!sharedPrompt.isEmpty()) {
			this.readAt.put(new Key(endpoint.identifier(), endpoint.startedAt(), sharedPrompt),
					this.clock.milliseconds());
		}
	}

	/**
	 * Returns whether an endpoint has recently read the shared part of a prompt.
	 * @param endpoint the endpoint
	 * @param sharedPrompt identifies the shared part of the prompt, empty for none
	 * @return whether it was read by the same run of the endpoint
	 */
	public synchronized boolean contains(ServedEndpoint endpoint, String sharedPrompt) {
		if (sharedPrompt.isEmpty()) {
			return false;
		}
		@Nullable Long at = this.readAt.get(new Key(endpoint.identifier(), endpoint.startedAt(), sharedPrompt));
		return at != null && this.clock.milliseconds() - at < RETENTION_MILLISECONDS;
	}

	/**
	 * The shared part of a prompt at a run of an endpoint.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param startedAt when the endpoint was started
	 * @param sharedPrompt identifies the shared part
	 */
	private record Key(String endpoint, long startedAt, String sharedPrompt) {
	}

}
