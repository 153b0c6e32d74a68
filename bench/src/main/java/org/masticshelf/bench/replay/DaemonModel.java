package org.masticshelf.bench.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.queue.FairQueue;
import org.masticshelf.kernel.queue.Forecast;
import org.masticshelf.kernel.queue.QueueAdmission;
import org.masticshelf.kernel.queue.QueueBounds;
import org.masticshelf.kernel.queue.Readiness;
import org.masticshelf.kernel.queue.WaitingRequest;
import org.masticshelf.kernel.refusal.Refusal;
import org.masticshelf.kernel.retry.FailedAttempt;
import org.masticshelf.kernel.retry.RetryBudget;
import org.masticshelf.kernel.retry.RetryDecision;
import org.masticshelf.kernel.retry.RetryPolicy;
import org.masticshelf.kernel.routing.EndpointTracker;
import org.masticshelf.kernel.routing.PrefixHints;
import org.masticshelf.kernel.routing.RouteDecision;
import org.masticshelf.kernel.routing.Router;
import org.masticshelf.kernel.routing.RoutingRequest;

/**
 * One daemon as far as its decisions go: queue, routing and retries.
 * <p>
 * Used by one thread.
 */
final class DaemonModel {

	private static final long REPORT_NANOSECONDS = 500_000_000L;

	private static final long PUMP_NANOSECONDS = 50_000_000L;

	private final int number;

	private final Fleet fleet;

	private final DaemonGrants grants;

	private final Ledger ledger;

	private final PlacementDriver placement;

	private final FairQueue<Flight> queue = new FairQueue<>(QueueBounds.DEFAULT);

	private final EndpointTracker board = new EndpointTracker();

	private final Router router;

	private final RetryBudget budget = new RetryBudget();

	private final RetryPolicy retries;

	private final Map<Flight, Progress> open = new HashMap<>();

	DaemonModel(int number, Fleet fleet, GrantKeepers keepers, Ledger ledger, PlacementDriver placement) {
		this.number = number;
		this.fleet = fleet;
		this.grants = new DaemonGrants(number, fleet, keepers);
		this.ledger = ledger;
		this.placement = placement;
		this.board.update(fleet.pool().endpoints());
		this.router = new Router(Fleet.domainOf(number), (domain) -> fleet.deployment().domainDistanceNanoseconds(),
				new PrefixHints(), new Random(number));
		this.retries = new RetryPolicy(this.budget, new Random(number));
	}

	void start(long end) {
		this.fleet.time().every(REPORT_NANOSECONDS, end, this::askForReports);
		this.fleet.time().every(PUMP_NANOSECONDS, end, this::pump);
		this.grants.start(end, this::shortages, this::pump);
	}

	private Map<QualifiedName, DaemonGrants.Shortage> shortages() {
		Map<QualifiedName, DaemonGrants.Shortage> shortages = new HashMap<>();
		if (this.queue.size() > 0) {
			this.queue.waitingRequests()
				.forEach((waiting) -> shortages.merge(waiting.organisation(),
						DaemonGrants.Shortage.NONE.with(waiting.costTokens()),
						(known, one) -> known.with(one.allTokens())));
		}
		return shortages;
	}

	private void askForReports() {
		for (FleetEndpoint endpoint : this.fleet.endpoints()) {
			String identifier = endpoint.endpoint().identifier();
			EndpointTracker.ReportMark mark = this.board.mark(identifier, now());
			long distance = this.fleet.distance(this.number, endpoint.endpoint());
			this.fleet.time().after(distance, () -> {
				if (endpoint.isLive()) {
					int running = endpoint.runningCount();
					int waiting = endpoint.waitingCount();
					this.fleet.time()
						.after(distance, () -> this.board.recordReport(identifier, running, waiting, mark));
				}
			});
		}
	}

	void arrive(Flight flight) {
		this.budget.recordRequest();
		this.grants.demand(flight);
		this.open.put(flight, new Progress());
		this.fleet.time().at(flight.deadline(), () -> refuse(flight, Refusal.Reason.DEADLINE_EXCEEDED));
		offer(flight, forecast(flight));
		pump();
	}

	private Forecast forecast(Flight flight) {
		long grant = this.grants.waitNanoseconds(flight);
		long wake = this.fleet.holders(flight.loadable.withoutAdapter()).isEmpty()
				? this.placement.wakeNanoseconds(flight.loadable) : 0;
		return (grant > wake) ? Forecast.ofGrant(grant, 0) : Forecast.ofLoad(wake, 0);
	}

	private void offer(Flight flight, Forecast forecast) {
		WaitingRequest.Candidate<Flight> candidate = new WaitingRequest.Candidate<>(flight, flight.organisation, 1,
				flight.loadable.toString(), flight.request.costTokens(), flight.deadline());
		switch (this.queue.offer(candidate, forecast, now())) {
			case QueueAdmission.Refused<Flight> refused -> refuse(flight, refused.refusal().reason());
			case QueueAdmission.Queued<Flight> queued -> {
				WaitingRequest<Flight> displaced = queued.displaced();
				if (displaced != null) {
					refuse(displaced.item(), Refusal.Reason.DISPLACED);
				}
			}
		}
	}

	void pump() {
		this.queue.expire(now()).forEach((waiting) -> refuse(waiting.item(), Refusal.Reason.DEADLINE_EXCEEDED));
		WaitingRequest<Flight> next = this.queue.poll(now(), (waiting) -> readiness(waiting.item()));
		while (next != null) {
			if (route(next.item()) instanceof RouteDecision.Chosen chosen && this.grants.charge(next.item())) {
				dispatch(next.item(), chosen.endpoint().identifier());
			}
			else {
				this.queue.restore(next);
				return;
			}
			next = this.queue.poll(now(), (waiting) -> readiness(waiting.item()));
		}
	}

	private Readiness readiness(Flight flight) {
		if (this.fleet.holders(flight.loadable).isEmpty()) {
			return Readiness.COLD;
		}
		if (!this.grants.covers(flight)) {
			return Readiness.NO_GRANT;
		}
		return (route(flight) instanceof RouteDecision.Chosen) ? Readiness.READY : Readiness.FULL;
	}

	private RouteDecision route(Flight flight) {
		Progress progress = progress(flight);
		Set<String> excluded = (progress != null) ? progress.excluded : Set.of();
		RoutingRequest selection = RoutingRequest.among(this.fleet.holders(flight.loadable)).excluding(excluded);
		return this.router.choose(this.board, selection, now());
	}

	private void dispatch(Flight flight, String identifier) {
		FleetEndpoint endpoint = this.fleet.endpoint(identifier);
		long distance = this.fleet.distance(this.number, endpoint.endpoint());
		long sent = now();
		this.board.recordStart(identifier);
		long[] started = { sent };
		this.fleet.time().after(distance, () -> endpoint.take(flight, () -> {
			started[0] = now();
			Progress progress = progress(flight);
			if (progress != null) {
				progress.started = true;
			}
			this.ledger.started(flight);
		}, (failure) -> this.fleet.time().after(distance, () -> {
			if (failure != null) {
				failed(flight, identifier, failure);
			}
			else {
				succeeded(flight, identifier, started[0] - sent);
			}
			pump();
		})));
	}

	private void succeeded(Flight flight, String identifier, long latency) {
		this.board.recordSuccess(identifier, latency, now());
		this.budget.recordSuccess();
		this.grants.settle(flight, flight.request.usedTokens());
		if (this.open.remove(flight) != null) {
			this.fleet.time().after(Deployment.CLIENT_DISTANCE_NANOSECONDS, () -> this.ledger.answered(flight));
		}
	}

	private void failed(Flight flight, String identifier, ExchangeFailure.Point point) {
		if (point == ExchangeFailure.Point.REFUSED_BY_ENDPOINT) {
			this.board.recordCancellation(identifier);
		}
		else {
			this.board.recordFailure(identifier, now());
			this.budget.recordFailure();
		}
		this.grants.settle(flight, point.provesNotRun() ? 0 : flight.request.costTokens());
		Progress progress = progress(flight);
		if (progress == null) {
			return;
		}
		FailedAttempt attempt = (progress.failure != null) ? progress.failure.followedBy(identifier, point, 0)
				: FailedAttempt.first(identifier, point, true, flight.deadline());
		progress.failure = attempt;
		switch (this.retries.decide(attempt, now())) {
			case RetryDecision.GiveUp giveUp -> refuse(flight, giveUp.refusal().reason());
			case RetryDecision.Retry retry -> {
				progress.excluded = retry.excluded();
				this.fleet.time().after(retry.delayNanoseconds(), () -> retry(flight));
			}
		}
	}

	private void retry(Flight flight) {
		if (this.open.containsKey(flight)) {
			offer(flight, Forecast.NOW);
			pump();
		}
	}

	private void refuse(Flight flight, Refusal.Reason reason) {
		Progress progress = this.open.remove(flight);
		if (progress != null) {
			this.ledger.refused(flight, reason.code(), progress.started);
		}
	}

	private @Nullable Progress progress(Flight flight) {
		return this.open.get(flight);
	}

	private long now() {
		return this.fleet.time().now();
	}

	/**
	 * Passes on the requests that wait and are covered by their grant.
	 * @param consumer takes each of them
	 */
	void demands(Consumer<WaitingRequest<Flight>> consumer) {
		this.queue.waitingRequests().stream().filter((waiting) -> this.grants.covers(waiting.item())).forEach(consumer);
	}

	private static final class Progress {

		private Set<String> excluded = Set.of();

		private @Nullable FailedAttempt failure;

		private boolean started;

	}

}
