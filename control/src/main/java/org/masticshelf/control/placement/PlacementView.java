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
 * What is loaded where, as far as this daemon was told.
 * <p>
 * Invariants: the last known view stays while no holder answers, and it does not go back
 * to that of an earlier holder unless only that one has answered for
 * {@link #EARLIER_HOLDER_MILLISECONDS}, which a restored key-value service can cause.
 * Safe for use by several threads; each store is a shard with its own lock.
 */
public final class PlacementView {

	/** How often {@link #refresh()} is to be called. */
	public static final long REFRESH_MILLISECONDS = 50;

	/** No estimate is known. */
	public static final long UNKNOWN_MILLISECONDS = Long.MAX_VALUE;

	/** How long only an earlier holder must answer before its view is taken. */
	public static final long EARLIER_HOLDER_MILLISECONDS = 10_000;

	private static final long POLL_MILLISECONDS = 1_000;

	private static final long RETRY_MILLISECONDS = 200;

	private static final Duration TIMEOUT = Duration.ofMillis(POLL_MILLISECONDS + 1_000);

	private final Map<String, Shard> shards = new ConcurrentHashMap<>();

	private final List<Consumer<Set<Loadable>>> listeners = new CopyOnWriteArrayList<>();

	private final PlacementControllers keepers;

	private final DemandReporter reporter;

	private final MonotonicClock clock;

	/**
	 * Creates a view.
	 * @param keepers the way to the placing daemons
	 * @param reporter knows what requests wait for
	 * @param clock the clock
	 */
	public PlacementView(PlacementControllers keepers, DemandReporter reporter, MonotonicClock clock) {
		this.keepers = keepers;
		this.reporter = reporter;
		this.clock = clock;
	}

	/**
	 * Adds a listener that is told which loadables changed, without any lock held.
	 * @param listener the listener
	 */
	public void addListener(Consumer<Set<Loadable>> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns where a loadable is loaded.
	 * @param loadable the loadable
	 * @return the identifiers of the endpoints, in order, empty if none is known
	 */
	public List<String> endpoints(Loadable loadable) {
		String store = this.reporter.storeOf(loadable);
		return (store != null) ? shard(store).endpoints(loadable) : List.of();
	}

	/**
	 * Returns how long it is expected to take until a loadable is loaded.
	 * @param loadable the loadable
	 * @return milliseconds, 0 if it is loaded, {@link #UNKNOWN_MILLISECONDS} if the
	 * placing daemon gave no estimate
	 */
	public long readyInMilliseconds(Loadable loadable) {
		String store = this.reporter.storeOf(loadable);
		return (store != null) ? shard(store).readyIn(loadable, this.clock.milliseconds()) : UNKNOWN_MILLISECONDS;
	}

	private Shard shard(String store) {
		return this.shards.computeIfAbsent(store, (key) -> new Shard());
	}

	/** Asks for what has changed. */
	public void refresh() {
		long now = this.clock.milliseconds();
		this.shards.forEach((store, shard) -> {
			Set<Loadable> wanted = this.reporter.wanted(store);
			if (shard.beginsPoll(wanted, now)) {
				ObjectNode question = shard.question(store, wanted);
				this.keepers.callHolder(store, PlacementControllers.VIEW, question, TIMEOUT)
					.orTimeout(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
					.whenComplete((answer, failure) -> answered(store, shard, answer, failure == null));
			}
		});
	}

	private void answered(String store, Shard shard, JsonNode answer, boolean answers) {
		long now = this.clock.milliseconds();
		Change change = shard.endPoll(answers ? answer : JsonNodeFactory.instance.objectNode(), now);
		if (change.removes()) {
			this.reporter.hastenUses(store);
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

		private Set<Loadable> asked = Set.of();

		private int polls;

		private long nextPollAt = Long.MIN_VALUE;

		private long fencing;

		private long version;

		private long takenAt;

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

		private synchronized boolean beginsPoll(Set<Loadable> wanted, long now) {
			boolean asksForMore = this.polls == 1 && !this.asked.containsAll(wanted);
			if (now < this.nextPollAt || !(this.polls == 0 || asksForMore)) {
				return false;
			}
			this.polls++;
			this.asked = wanted;
			return true;
		}

		private synchronized ObjectNode question(String store, Set<Loadable> wanted) {
			ObjectNode question = JsonNodeFactory.instance.objectNode()
				.put("store", store)
				.put("fencing", this.fencing)
				.put("version", this.version)
				.put("waitMilliseconds", POLL_MILLISECONDS);
			ArrayNode array = question.putArray("wanted");
			wanted.forEach((loadable) -> LoadableCodec.write(loadable, array.addObject()));
			return question;
		}

		private synchronized Change endPoll(JsonNode answer, long now) {
			this.polls--;
			if (!answer.path("held").asBoolean()) {
				this.nextPollAt = now + RETRY_MILLISECONDS;
				return Change.NONE;
			}
			long holder = answer.path("fencing").asLong();
			long newest = answer.path("version").asLong();
			boolean isEarlier = holder < this.fencing && now - this.takenAt < EARLIER_HOLDER_MILLISECONDS;
			if (isEarlier || (holder == this.fencing && newest < this.version)) {
				return Change.NONE;
			}
			this.takenAt = now;
			takeEstimates(answer, now);
			Change change = takeRows(answer);
			this.fencing = holder;
			this.version = newest;
			return change;
		}

		private void takeEstimates(JsonNode answer, long now) {
			this.readyAt.keySet().retainAll(this.asked);
			answer.path("estimates")
				.forEach((each) -> this.readyAt.put(LoadableCodec.read(each),
						now + each.path("readyInMilliseconds").asLong()));
		}

		private Change takeRows(JsonNode answer) {
			Map<Loadable, List<String>> told = new HashMap<>();
			for (JsonNode row : answer.path("rows")) {
				List<String> endpoints = new ArrayList<>();
				row.path("endpoints").forEach((endpoint) -> endpoints.add(endpoint.asText()));
				told.put(LoadableCodec.read(row), endpoints);
			}
			if (answer.path("full").asBoolean()) {
				this.rows.keySet().forEach((loadable) -> told.putIfAbsent(loadable, List.of()));
			}
			Set<Loadable> changed = new HashSet<>();
			boolean removes = false;
			for (Map.Entry<Loadable, List<String>> row : told.entrySet()) {
				List<String> former = endpoints(row.getKey());
				if (!former.equals(row.getValue())) {
					changed.add(row.getKey());
					removes |= !row.getValue().containsAll(former);
					this.rows.put(row.getKey(), List.copyOf(row.getValue()));
				}
			}
			return new Change(changed, removes);
		}

	}

}
