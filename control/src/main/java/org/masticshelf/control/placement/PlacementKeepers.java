package org.masticshelf.control.placement;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PeerChannel;

/**
 * The keepers of all weight stores at one daemon, and the way to the daemon that holds
 * the duty of each.
 * <p>
 * Invariant: there is one keeper for each store that was ever configured while this
 * daemon ran. Safe for use by several threads; each keeper has its own lock.
 */
public final class PlacementKeepers implements AutoCloseable {

	static final String DEMAND = "placement/demand";

	static final String VIEW = "placement/view";

	private static final String DUTY_PREFIX = "place/";

	private final Map<String, Held> keepers = new ConcurrentHashMap<>();

	private final PlacementServices services;

	private final Duties duties;

	private final Members members;

	private final ConfigurationSource configuration;

	private final PeerChannel peers;

	private @Nullable ScheduledFuture<?> ticking;

	/**
	 * Creates the keepers of a daemon.
	 * @param services what the keepers work with
	 * @param duties the duties that this daemon competes for
	 * @param members knows this daemon
	 * @param configuration the configuration in force
	 * @param peers reaches the other daemons
	 */
	public PlacementKeepers(PlacementServices services, Duties duties, Members members,
			ConfigurationSource configuration, PeerChannel peers) {
		this.services = services;
		this.duties = duties;
		this.members = members;
		this.configuration = configuration;
		this.peers = peers;
	}

	/**
	 * Answers the operations of placement and keeps all stores whose duty is held.
	 * @param scheduler calls {@link #tick()} from now on
	 * @return these keepers
	 */
	public PlacementKeepers start(ScheduledExecutorService scheduler) {
		answerOperations();
		this.ticking = scheduler.scheduleWithFixedDelay(this::tickSafely, 0, PlacementKeeper.TICK_MILLISECONDS,
				TimeUnit.MILLISECONDS);
		return this;
	}

	/** Answers the operations of placement from now on. */
	void answerOperations() {
		this.peers.registerHandler(DEMAND, (body) -> answer(DEMAND, body));
		this.peers.registerHandler(VIEW, (body) -> answer(VIEW, body));
		this.peers.registerHandler(SenderStatus.OfPeers.OPERATION, this::settled);
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			this.services.log().accept(Event.named("placement.failed").with("cause", ex));
		}
	}

	/** Does whatever is due at all stores. */
	public void tick() {
		stores().forEach((store) -> keeper(store).keeper().tick());
	}

	private Set<String> stores() {
		return this.configuration.current()
			.tables()
			.pools()
			.stream()
			.filter((pool) -> pool.kind() == Route.Kind.MODEL)
			.map(Pool::store)
			.collect(Collectors.toSet());
	}

	private Held keeper(String store) {
		return this.keepers.computeIfAbsent(store, (key) -> {
			Duty duty = this.duties.compete(DUTY_PREFIX + key);
			return new Held(duty, new PlacementKeeper(key, duty, this.services, this.members, this.configuration));
		});
	}

	/**
	 * Calls the daemon that holds the duty of a store, possibly this one.
	 * @param store the weight store
	 * @param operation the operation
	 * @param body the message
	 * @param timeout how long to wait
	 * @return the answer; the future fails with an {@link ExchangeFailure} if there was
	 * none
	 */
	CompletableFuture<JsonNode> callHolder(String store, String operation, JsonNode body, Duration timeout) {
		Duty.Holder holder = keeper(store).duty().holder();
		if (holder == null) {
			return CompletableFuture.failedFuture(new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT,
					"no holder of place/" + store + " known"));
		}
		if (holder.incarnation().equals(this.members.self().incarnation())) {
			return answer(operation, body);
		}
		return this.peers.call(holder.address(), operation, body, timeout);
	}

	private CompletableFuture<JsonNode> answer(String operation, JsonNode body) {
		Held held = this.keepers.get(body.path("store").asText());
		if (held == null) {
			return CompletableFuture.completedFuture(ViewPolls.notHeld());
		}
		return operation.equals(VIEW) ? held.keeper().view(body)
				: CompletableFuture.completedFuture(held.keeper().demand(body));
	}

	private CompletableFuture<JsonNode> settled(JsonNode body) {
		String self = this.members.self().incarnation();
		long fencing = body.path("fencing").asLong();
		boolean acts = this.keepers.values().stream().anyMatch((held) -> held.keeper().actsUnder(fencing));
		boolean isSettled = body.path("incarnation").asText().equals(self) && !acts
				&& this.services.ledger().isSettled(fencing);
		return CompletableFuture
			.completedFuture(JsonNodeFactory.instance.objectNode().put("incarnation", self).put("settled", isSettled));
	}

	@Override
	public void close() {
		if (this.ticking != null) {
			this.ticking.cancel(false);
		}
	}

	private record Held(Duty duty, PlacementKeeper keeper) {
	}

}
