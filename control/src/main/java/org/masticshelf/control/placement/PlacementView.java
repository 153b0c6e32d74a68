package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * What is loaded where, as far as the holders of the placement duties have told this
 * daemon.
 * <p>
 * Invariants: the last known view stays while no holder answers. It does not revert to
 * the view of an earlier holder unless no other holder has answered for
 * {@link #EARLIER_HOLDER_MILLISECONDS}, which can happen after the key-value service was
 * restored. Safe for use by several threads; each store is a shard with its own lock.
 */
public final class PlacementView {

	/** How often {@link #poll()} is to be called. */
	public static final long REFRESH_MILLISECONDS = 50;

	/** Stands for an unknown estimate. */
	public static final long UNKNOWN_MILLISECONDS = Long.MAX_VALUE;

	/**
	 * How long no current holder must have answered before the view of an earlier one is
	 * accepted.
	 */
	public static final long EARLIER_HOLDER_MILLISECONDS = 10_000;

	private static final long POLL_WAIT_MILLISECONDS = 1_000;

	private static final long RETRY_DELAY_MILLISECONDS = 200;

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(POLL_WAIT_MILLISECONDS + 1_000);

	private final Map<String, Shard> shards = new ConcurrentHashMap<>();

	private final List<Consumer<Set<Loadable>>> listeners = new CopyOnWriteArrayList<>();

	private final PlacementControllers controllers;

	private final DemandReporter reporter;

	private final MonotonicClock clock;

	/**
	 * Creates a view.
	 * @param controllers calls the holders of the placement duties
	 * @param reporter tells what requests wait for
	 * @param clock the clock of this daemon
	 */
	public PlacementView(PlacementControllers controllers, DemandReporter reporter, MonotonicClock clock) {
		this.controllers = controllers;
		this.reporter = reporter;
		this.clock = clock;
	}

	/**
	 * Adds a listener, which is called without a lock held.
	 * @param listener receives the changed loadables
	 */
	public void addListener(Consumer<Set<Loadable>> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the endpoints at which a loadable is loaded.
	 * @param loadable the model or adapter
	 * @return the sorted identifiers of the endpoints, empty if none is known
	 */
	public List<String> endpoints(Loadable loadable) {
		String store = this.reporter.storeOf(loadable);
		return (store != null) ? shard(store).endpoints(loadable) : List.of();
	}

	/**
	 * Returns the expected time until a loadable is loaded.
	 * @param loadable the model or adapter
	 * @return milliseconds, 0 if it is loaded, {@link #UNKNOWN_MILLISECONDS} if the
	 * holder gave no estimate
	 */
	public long readyInMilliseconds(Loadable loadable) {
		String store = this.reporter.storeOf(loadable);
		return (store != null) ? shard(store).readyIn(loadable, this.clock.milliseconds()) : UNKNOWN_MILLISECONDS;
	}

	private Shard shard(String store) {
		return this.shards.computeIfAbsent(store, (key) -> new Shard());
	}

	/** Polls the holders for changes. */
	public void refresh() {
		long now = this.clock.milliseconds();
		this.shards.forEach((store, shard) -> {
			Set<Loadable> wanted = this.reporter.requestedLoadables(store);
			if (shard.tryBeginPoll(wanted, now)) {
				ObjectNode request = shard.createRequest(store, wanted);
				this.controllers.callHolder(store, PlacementControllers.VIEW_OPERATION, request, CALL_TIMEOUT)
					.orTimeout(2 * CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
					.whenComplete((answer, failure) -> pollCompleted(store, shard, answer, failure == null));
			}
		});
	}

	private void pollCompleted(String store, Shard shard, JsonNode answer, boolean succeeded) {
		long now = this.clock.milliseconds();
		Change change = shard.applyAnswer(succeeded ? answer : JsonNodeFactory.instance.objectNode(), now);
		if (change.removes()) {
			this.reporter.sendUsesSoon(store);
		}
		if (!change.loadables().isEmpty()) {
			this.listeners.forEach((listener) -> listener.accept(change.loadables()));
		}
	}

	private record Change(Set<Loadable> loadables, boolean removes) {

		private static final Change NONE = new Change(Set.of(), false);

	}

	/** The view of one store. Safe for use by several threads under its own lock. */
	private static final class Shard {

		private final Map<Loadable, List<String>> rows = new HashMap<>();

		private final Map<Loadable, Long> readyAt = new HashMap<>();

		private Set<Loadable> requested = Set.of();

		private int pollsInFlight;

		private long nextPollAt = Long.MIN_VALUE;

		private long fencing;

		private long version;

		private long acceptedAt;

		private synchronized List<String> endpoints(Loadable loadable) {
			return this.rows.getOrDefault(loadable, List.of());
		}

		private synchronized long readyIn(Loadable loadable, long now) {
			if (!endpoints(loadable).isEmpty()) {
				return 0;
			}
			Long at = this.readyAt.get(loadable);
			return (at != null) ? Math.max(0, at - now) : UNKNOWN_MILLISECONDS;
		}

		private synchronized boolean tryBeginPoll(Set<Loadable> wanted, long now) {
			boolean requestsMore = this.pollsInFlight == 1 && !this.requested.containsAll(wanted);
			if (now < this.nextPollAt || !(this.pollsInFlight == 0 || requestsMore)) {
				return false;
			}
			this.pollsInFlight++;
			this.requested = wanted;
			return true;
		}

		private synchronized ObjectNode createRequest(String store, Set<Loadable> wanted) {
			ObjectNode request = JsonNodeFactory.instance.objectNode()
				.put("store", store)
				.put("fencing", this.fencing)
				.put("version", this.version)
				.put("waitMilliseconds", POLL_WAIT_MILLISECONDS);
			ArrayNode array = request.putArray("wanted");
			wanted.forEach((loadable) -> LoadableCodec.write(loadable, array.addObject()));
			return request;
		}

		private synchronized Change applyAnswer(JsonNode answer, long now) {
			this.pollsInFlight--;
			if (!answer.path("held").asBoolean()) {
				this.nextPollAt = now + RETRY_DELAY_MILLISECONDS;
				return Change.NONE;
			}
			long answerFencing = answer.path("fencing").asLong();
			long answerVersion = answer.path("version").asLong();
			boolean isFromEarlierHolder = answerFencing < this.fencing
					&& now - this.acceptedAt < EARLIER_HOLDER_MILLISECONDS;
			if (isFromEarlierHolder || (answerFencing == this.fencing && answerVersion < this.version)) {
				return Change.NONE;
			}
			this.acceptedAt = now;
			updateEstimates(answer, now);
			Change change = updateRows(answer);
			this.fencing = answerFencing;
			this.version = answerVersion;
			return change;
		}

		private void updateEstimates(JsonNode answer, long now) {
			this.readyAt.keySet().retainAll(this.requested);
			answer.path("estimates")
				.forEach((each) -> this.readyAt.put(LoadableCodec.read(each),
						now + each.path("readyInMilliseconds").asLong()));
		}

		private Change updateRows(JsonNode answer) {
			Map<Loadable, List<String>> received = new HashMap<>();
			for (JsonNode row : answer.path("rows")) {
				List<String> endpoints = new ArrayList<>();
				row.path("endpoints").forEach((endpoint) -> endpoints.add(endpoint.asText()));
				received.put(LoadableCodec.read(row), endpoints);
			}
			if (answer.path("full").asBoolean()) {
				this.rows.keySet().forEach((loadable) -> received.putIfAbsent(loadable, List.of()));
			}
			Set<Loadable> changed = new HashSet<>();
			boolean removes = false;
			for (Map.Entry<Loadable, List<String>> row : received.entrySet()) {
				List<String> previous = endpoints(row.getKey());
				if (!previous.equals(row.getValue())) {
					changed.add(row.getKey());
					removes |= !row.getValue().containsAll(previous);
					this.rows.put(row.getKey(), List.copyOf(row.getValue()));
				}
			}
			return new Change(changed, removes);
		}

	}

}
