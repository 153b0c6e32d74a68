package org.masticshelf.bench.replay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Plays a trace to one system in virtual time.
 * <p>
 * Invariant: equal traces and systems lead to equal measures. Used by one thread.
 */
final class Replay {

	private static final long DRAIN_NANOSECONDS = 120_000_000_000L;

	private final Trace trace;

	private final VirtualTime time = new VirtualTime();

	private final Fleet fleet;

	private final Ledger ledger;

	private final ServingSystem system;

	private final Map<QualifiedName, TokenBucket> idealGrants = new HashMap<>();

	private final Map<QualifiedName, TokenBucket> sent = new HashMap<>();

	/**
	 * Prepares a replay.
	 * @param trace the trace
	 * @param factory creates the system on a fleet
	 */
	Replay(Trace trace, BiFunction<Fleet, Ledger, ServingSystem> factory) {
		this.trace = trace;
		this.fleet = new Fleet(trace.header(), this.time);
		this.ledger = new Ledger(trace.header(), this.fleet, this.time);
		this.system = factory.apply(this.fleet, this.ledger);
		trace.header().organisations().forEach((row) -> {
			QualifiedName name = this.fleet.name(row.name());
			this.idealGrants.put(name, new TokenBucket(row.tokensPerSecond(), row.burstTokens()));
			this.sent.put(name, new TokenBucket(row.tokensPerSecond(), row.burstTokens()));
		});
	}

	/**
	 * Plays the trace to its end.
	 * @return what the system did with it
	 */
	Measures run() {
		for (TraceEvent event : this.trace.events()) {
			this.time.at(event.at() * VirtualTime.NANOSECONDS_PER_MILLISECOND, () -> happen(event));
		}
		long end = this.trace.header().durationMilliseconds() * VirtualTime.NANOSECONDS_PER_MILLISECOND;
		this.system.start(end + DRAIN_NANOSECONDS);
		this.time.run();
		return this.ledger.toMeasures(this.system.name(), this.fleet);
	}

	private void happen(TraceEvent event) {
		switch (event) {
			case TraceEvent.Request request -> send(request);
			case TraceEvent.EndpointLost lost -> this.fleet.endpoint(lost.endpoint()).lose();
			case TraceEvent.EndpointBack back -> this.fleet.endpoint(back.endpoint()).comeBack();
			case TraceEvent.StoreSpeed speed -> this.fleet.store().speed(speed.factor());
		}
	}

	private void send(TraceEvent.Request request) {
		Loadable loadable = new Loadable(this.fleet.pool().name(), request.model(), request.adapter());
		QualifiedName organisation = this.fleet.name(request.organisation());
		TokenBucket ideal = this.idealGrants.get(organisation);
		boolean inside = ideal != null && ideal.tryTake(request.usedTokens(), this.time.now());
		TokenBucket all = this.sent.get(organisation);
		boolean allInside = all != null && all.take(request.usedTokens(), this.time.now()) >= 0;
		boolean cold = this.fleet.holders(loadable).isEmpty();
		Flight flight = new Flight(request, organisation, loadable, this.time.now(), cold, inside, allInside);
		this.ledger.arrived(flight);
		this.time.after(Deployment.CLIENT_DISTANCE_NANOSECONDS, () -> this.system.arrive(flight));
	}

}
