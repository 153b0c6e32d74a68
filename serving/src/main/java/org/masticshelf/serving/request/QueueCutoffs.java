package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import org.masticshelf.kernel.admission.AdmissionCutoff;
import org.masticshelf.kernel.admission.ReturnOrder;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.peer.PeerRegistry;

/**
 * Applies {@link AdmissionCutoff} to the requests that wait for slots, with the queues of
 * this daemon and its peers.
 * <p>
 * Invariant: there is one cutoff for each pool and priority, so that state does not grow
 * with requests. Thread-safe.
 */
final class QueueCutoffs {

	/** How often the messages of peers are summed up again. */
	private static final long PEERS_MILLISECONDS = 50;

	/** Of the peers' requests of the same rank, half are taken to come first. */
	private static final double SHARE_OF_EQUALS_AHEAD = 0.5;

	private final MonotonicClock clock;

	private final Map<String, PoolState> pools = new HashMap<>();

	/** Differs from that of other daemons, so that callers return at other moments. */
	private final double phase = ThreadLocalRandom.current().nextDouble();

	QueueCutoffs(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Decides whether a request goes on waiting for a slot.
	 * @param peers the messages of peers
	 * @param inputs the request and the slots that it may use
	 * @return the decision
	 */
	synchronized Verdict decide(PeerRegistry peers, Inputs inputs) {
		long now = this.clock.milliseconds();
		PoolState state = this.pools.computeIfAbsent(inputs.pool(), (name) -> new PoolState());
		if (now - state.summedAt >= PEERS_MILLISECONDS) {
			state.summedAt = now;
			state.queues = peers.queuedWork(inputs.pool());
		}
		double peersAhead = state.queues.stream().mapToDouble((queue) -> ahead(queue, inputs)).sum();
		double ahead = inputs.place().ahead() + peersAhead * inputs.shareOfPool();
		double service = inputs.place().serviceMilliseconds();
		long expected = AdmissionCutoff.expectedMilliseconds(ahead, inputs.slots(), service);
		long age = state.queues.stream().mapToLong(PeerRegistry.PeerQueue::age).max().orElse(-1);
		if (expected < 0 || admits(state, inputs, expected)) {
			return new Verdict(true, expected, 0, age);
		}
		int daemons = 1 + (int) state.queues.stream().map(PeerRegistry.PeerQueue::incarnation).distinct().count();
		state.returns = state.returns.next(now, expected, service / inputs.slots(), daemons, this.phase);
		return new Verdict(false, expected, state.returns.lastAt() - now, age);
	}

	private static boolean admits(PoolState state, Inputs inputs, long expected) {
		if (inputs.waits()) {
			return AdmissionCutoff.mayGoOnWaiting(expected, inputs.leftMilliseconds());
		}
		AdmissionCutoff next = state.cutoffs.getOrDefault(inputs.place().rank().priority(), AdmissionCutoff.OPEN)
			.decide(expected, inputs.leftMilliseconds());
		state.cutoffs.put(inputs.place().rank().priority(), next);
		return !next.refusing();
	}

	// A request that meets its objective is not delayed by requests of lower priority at
	// other daemons, so that it is not refused while they serve these.
	private static double ahead(PeerRegistry.PeerQueue queue, Inputs inputs) {
		PeerMessage.QueuedWork work = queue.work();
		boolean missed = inputs.place().rank().isMissed();
		if (missed) {
			return work.inTime() ? work.count() : SHARE_OF_EQUALS_AHEAD * work.count();
		}
		int priority = inputs.place().rank().priority();
		if (!work.inTime() || work.priority() > priority) {
			return 0;
		}
		return (work.priority() < priority) ? work.count() : SHARE_OF_EQUALS_AHEAD * work.count();
	}

	/**
	 * The request and the slots that it may use. Immutable.
	 *
	 * @param pool the pool
	 * @param place where the request stands among those of this daemon
	 * @param slots the slots of the endpoints that it can use
	 * @param shareOfPool their share of the slots of the pool
	 * @param leftMilliseconds the time until its answer must have begun
	 * @param waits whether it has waited before, rather than just arrived
	 */
	record Inputs(String pool, QueuedTurn.Place place, double slots, double shareOfPool, long leftMilliseconds,
			boolean waits) {
	}

	/**
	 * The decision on a request. Immutable.
	 *
	 * @param admitted whether it goes on waiting
	 * @param expectedMilliseconds the time until it is expected to start, negative if
	 * unknown
	 * @param retryAfterMilliseconds when the caller may return, if it is turned away
	 * @param peersAgeMilliseconds the age of the oldest message of a peer that was used,
	 * negative if none was
	 */
	record Verdict(boolean admitted, long expectedMilliseconds, long retryAfterMilliseconds,
			long peersAgeMilliseconds) {
	}

	/** What is known of one pool. Guarded by the lock of the enclosing instance. */
	private static final class PoolState {

		private final Map<Integer, AdmissionCutoff> cutoffs = new HashMap<>();

		private ReturnOrder returns = ReturnOrder.EMPTY;

		private List<PeerRegistry.PeerQueue> queues = List.of();

		private long summedAt = Long.MIN_VALUE / 2;

	}

}
