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
 * The placement controllers of all weight stores at one daemon, and the means to call the
 * daemon that holds the duty of each store.
 * <p>
 * Invariant: there is one controller for each store that was configured at any time since
 * this daemon started. Safe for use by several threads; each controller has its own lock.
 */
public final class PlacementControllers implements AutoCloseable {

	static final String DEMAND_OPERATION = "placement/demand";

	static final String VIEW_OPERATION = "placement/view";

	private static final String DUTY_PREFIX = "place/";

	private final Map<String, StorePlacement> placements = new ConcurrentHashMap<>();

	private final PlacementServices services;

	private final Duties duties;

	private final Members members;

	private final ConfigurationSource configuration;

	private final PeerChannel peers;

	private @Nullable ScheduledFuture<?> tickSchedule;

	/**
	 * Creates the controllers of a daemon.
	 * @param services the services that the controllers use
	 * @param duties the duties that this daemon competes for
	 * @param members identifies this daemon
	 * @param configuration the source of the current configuration
	 * @param peers the channel to the other daemons
	 */
	public PlacementControllers(PlacementServices services, Duties duties, Members members,
			ConfigurationSource configuration, PeerChannel peers) {
		this.services = services;
		this.duties = duties;
		this.members = members;
		this.configuration = configuration;
		this.peers = peers;
	}

	/**
	 * Answers the placement operations and places the models of all stores whose duty
	 * this daemon holds.
	 * @param scheduler runs {@link #readReport()} periodically from now on
	 * @return this instance
	 */
	public PlacementControllers start(ScheduledExecutorService scheduler) {
		answerOperations();
		this.tickSchedule = scheduler.scheduleWithFixedDelay(this::tickSafely, 0, PlacementController.TICK_MILLISECONDS,
				TimeUnit.MILLISECONDS);
		return this;
	}

	/** Answers the placement operations from now on. */
	void answerOperations() {
		this.peers.registerHandler(DEMAND_OPERATION, (body) -> answer(DEMAND_OPERATION, body));
		this.peers.registerHandler(VIEW_OPERATION, (body) -> answer(VIEW_OPERATION, body));
		this.peers.registerHandler(SenderStatus.OfPeers.OPERATION, this::answerSettled);
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			this.services.log().accept(Event.named("placement.failed").with("cause", ex));
		}
	}

	/** Takes every step that is due at all stores. */
	public void tick() {
		stores().forEach((store) -> placement(store).keeper().tick());
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

	private StorePlacement placement(String store) {
		return this.placements.computeIfAbsent(store, (key) -> {
			Duty duty = this.duties.compete(DUTY_PREFIX + key);
			return new StorePlacement(duty,
					new PlacementController(key, duty, this.services, this.members, this.configuration));
		});
	}

	/**
	 * Calls the daemon that holds the duty of a store, which may be this one.
	 * @param store the weight store
	 * @param operation the operation
	 * @param body the message
	 * @param timeout how long to wait
	 * @return the answer; the future fails with an {@link ExchangeFailure} if there is
	 * none
	 */
	CompletableFuture<JsonNode> callHolder(String store, String operation, JsonNode body, Duration timeout) {
		Duty.Holder holder = placement(store).duty().holder();
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
		StorePlacement placement = this.placements.get(body.path("store").asText());
		if (placement == null) {
			return CompletableFuture.completedFuture(ViewLongPolls.notHeld());
		}
		return operation.equals(VIEW_OPERATION) ? placement.keeper().pollView(body)
				: CompletableFuture.completedFuture(placement.keeper().receiveDemand(body));
	}

	private CompletableFuture<JsonNode> answerSettled(JsonNode body) {
		String self = this.members.self().incarnation();
		long fencing = body.path("fencing").asLong();
		boolean isActive = this.placements.values()
			.stream()
			.anyMatch((placement) -> placement.keeper().isActiveUnder(fencing));
		boolean isSettled = body.path("incarnation").asText().equals(self) && !isActive
				&& this.services.outstandingOrders().isSettled(fencing);
		return CompletableFuture
			.completedFuture(JsonNodeFactory.instance.objectNode().put("incarnation", self).put("settled", isSettled));
	}

	@Override
	public void close() {
		if (this.tickSchedule != null) {
			this.tickSchedule.cancel(false);
		}
	}

	private record StorePlacement(Duty duty, PlacementController keeper) {
	}

}
