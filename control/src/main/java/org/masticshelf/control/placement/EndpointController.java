package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.EndpointRecord.Entry;
import org.masticshelf.kernel.placement.EndpointRecord.Sender;
import org.masticshelf.kernel.placement.EndpointRecord.State;
import org.masticshelf.kernel.placement.EndpointState;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.placement.PlacementDecision;
import org.masticshelf.kernel.port.Engine;

/**
 * Carries out placement decisions for one endpoint during one tenure.
 * <p>
 * Invariants: an order is sent only for an entry that is known to be written to the
 * endpoint's record, and only during the tenure. Each step follows from the record and
 * the endpoint's report, so it does not matter which holder recorded an intent. Guarded
 * by the lock of the store's controller, which callbacks acquire.
 */
final class EndpointController {

	private static final long ACTIVE_REPORT_INTERVAL_MILLISECONDS = 100;

	private static final long RETRY_DELAY_MILLISECONDS = 500;

	private static final long AVOIDANCE_MILLISECONDS = 5_000;

	private final Map<Loadable, EntryProgress> progressByLoadable = new HashMap<>();

	private final Map<Loadable, Long> avoidedUntil = new HashMap<>();

	private final Set<Sender> settledSenders = new HashSet<>();

	private final PlacementContext context;

	private final QualifiedName pool;

	private final EndpointRecordAccess recordAccess;

	private final EndpointReportPoller reportPoller;

	private final OrderSender orderSender;

	private Pool.Endpoint endpoint;

	private boolean checkingSender;

	private long nextSenderCheckAt = Long.MIN_VALUE;

	private boolean retired;

	private boolean converged;

	private boolean viewIsStale = true;

	private EndpointPresence.@Nullable Presence listedPresence;

	EndpointController(PlacementContext context, QualifiedName pool, Pool.Endpoint endpoint) {
		this.context = context;
		this.pool = pool;
		this.endpoint = endpoint;
		this.recordAccess = new EndpointRecordAccess(context.services().keyValue(), context.tenure(), context.lock(),
				endpoint.identifier());
		this.reportPoller = new EndpointReportPoller(context, this::reconciliationWith, this::markNotConverged,
				this::reportInterval);
		this.orderSender = new OrderSender(context, this.reportPoller, this::log);
	}

	private Reconciliation reconciliationWith(EndpointReportPoller.SequencedReport report) {
		return new Reconciliation(this.pool, report.report(), report.sequence(), this.progressByLoadable, self(),
				this.settledSenders, this.endpoint.checksFencing(), this.context::now);
	}

	private long reportInterval() {
		boolean isIdle = isConverged(this.recordAccess.record()) && this.reportPoller.lastPollSucceeded();
		return isIdle ? this.context.reportIntervalMilliseconds() : ACTIVE_REPORT_INTERVAL_MILLISECONDS;
	}

	EndpointRecordAccess recordAccess() {
		return this.recordAccess;
	}

	QualifiedName pool() {
		return this.pool;
	}

	Pool.Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Applies a changed configuration of the endpoint.
	 * @param row the endpoint's row in the table of pools, or {@code null} if it was
	 * removed from the table
	 */
	void configure(Pool.@Nullable Endpoint row) {
		markNotConverged();
		this.retired = row == null;
		this.endpoint = (row != null) ? row : this.endpoint;
	}

	/**
	 * Returns whether nothing is left to do for an endpoint that was removed from the
	 * configuration.
	 * @return whether the controller may be dropped
	 */
	boolean isDone() {
		return this.retired && this.recordAccess.isStable() && this.recordAccess.record().entries().isEmpty();
	}

	/**
	 * Returns whether the first poll of the endpoint has ended, so that its part of the
	 * view is meaningful.
	 * @return whether the first report arrived, failed or took too long
	 */
	boolean isProbed() {
		return this.reportPoller.isProbed();
	}

	/** Takes every step that is possible now. */
	void advance() {
		long now = this.context.now();
		updatePresence();
		this.reportPoller.poll(this.endpoint, now);
		if (this.converged) {
			return;
		}
		this.viewIsStale = true;
		this.recordAccess.resolve(now);
		if (!this.recordAccess.isStable()) {
			return;
		}
		EndpointRecord record = this.recordAccess.record();
		trackProgress(record, now);
		EndpointRecord next = isGone() ? EndpointRecord.empty(record.endpoint()) : reconcile(adoptEntries(record));
		if (!next.equals(record)) {
			handleTransitions(record, next, now);
			this.recordAccess.write(next, now);
			return;
		}
		record.entries().forEach((entry) -> sendOrder(entry, now));
		checkFormerSenders(record, now);
		this.converged = isConverged(record);
	}

	private void sendOrder(Entry entry, long now) {
		EntryProgress progress = this.progressByLoadable.get(entry.loadable());
		if (progress != null) {
			this.orderSender.sendIfDue(this.endpoint, entry, progress, now);
		}
	}

	private static boolean isConverged(EndpointRecord record) {
		return record.entries()
			.stream()
			.allMatch((entry) -> entry.state() == State.LOADED && entry.earlier().isEmpty());
	}

	private void markNotConverged() {
		this.converged = false;
	}

	private void updatePresence() {
		EndpointPresence.Presence newest = this.context.services().presence().presence(this.endpoint);
		if (newest != this.listedPresence) {
			this.listedPresence = newest;
			markNotConverged();
		}
	}

	private boolean isGone() {
		return this.reportPoller.isUnresponsive()
				&& (this.retired || this.listedPresence == EndpointPresence.Presence.GONE);
	}

	private void trackProgress(EndpointRecord record, long now) {
		this.progressByLoadable.keySet().removeIf((loadable) -> record.entry(loadable) == null);
		for (Entry entry : record.entries()) {
			this.progressByLoadable.computeIfAbsent(entry.loadable(),
					(loadable) -> new EntryProgress(now, Engine.CacheLevel.REMOTE, null));
		}
	}

	private EndpointRecord adoptEntries(EndpointRecord record) {
		EndpointRecord next = record;
		for (Entry entry : record.entries()) {
			if (entry.state() != State.LOADED && !entry.sender().equals(self())) {
				State state = entry.state().isLoading() ? State.DOUBTFUL : entry.state();
				next = next.with(entry.withSuccessor(self()).withState(state));
				log(Event.named("placement.adopted").with("loadable", entry.loadable()).with("state", entry.state()));
			}
		}
		return next;
	}

	private EndpointRecord reconcile(EndpointRecord record) {
		Reconciliation newest = this.reportPoller.newest();
		return (newest != null) ? newest.apply(record) : record;
	}

	private void handleTransitions(EndpointRecord record, EndpointRecord next, long now) {
		for (Entry entry : record.entries()) {
			Entry changed = next.entry(entry.loadable());
			EntryProgress progress = this.progressByLoadable.get(entry.loadable());
			if (changed == null) {
				handleRemoval(entry, now);
			}
			else if (progress != null && entry.state() != State.LOADED && changed.state() == State.LOADED) {
				progress.loadedAt = now;
				this.context.recordLoadTime(entry.loadable(), progress.cacheLevel, now - progress.intendedAt);
				log(Event.named("placement.loaded")
					.with("loadable", entry.loadable())
					.with("took_ms", now - progress.intendedAt));
			}
		}
	}

	private void handleRemoval(Entry entry, long now) {
		this.context.demandAggregator().removeLastUse(this.endpoint.identifier(), entry.loadable());
		if (entry.state().isLoading()) {
			this.avoidedUntil.put(entry.loadable(), now + AVOIDANCE_MILLISECONDS);
		}
		log(Event.named("placement.removed").with("loadable", entry.loadable()).with("state", entry.state()));
	}

	private void checkFormerSenders(EndpointRecord record, long now) {
		if (this.checkingSender || now < this.nextSenderCheckAt) {
			return;
		}
		for (Entry entry : record.entries()) {
			for (Sender sender : entry.earlier()) {
				checkSender(sender, now);
				return;
			}
		}
	}

	private void checkSender(Sender sender, long now) {
		this.checkingSender = true;
		this.nextSenderCheckAt = now + RETRY_DELAY_MILLISECONDS;
		this.context.isSettled(sender).whenComplete((settled, failure) -> {
			synchronized (this.context.lock()) {
				this.checkingSender = false;
				if (failure == null && settled) {
					this.settledSenders.add(sender);
				}
			}
		});
	}

	/**
	 * Writes the intents that follow from decisions. Has no effect unless the record is
	 * stable.
	 * @param decisions the loads and unloads decided for this endpoint
	 */
	void recordIntents(Iterable<PlacementDecision> decisions) {
		long now = this.context.now();
		if (!this.recordAccess.isStable()) {
			return;
		}
		EndpointRecord next = this.recordAccess.record();
		for (PlacementDecision decision : decisions) {
			next = withIntent(next, decision, now);
		}
		if (!next.equals(this.recordAccess.record())) {
			markNotConverged();
			this.recordAccess.write(next, now);
			this.reportPoller.pollSoon(now);
		}
	}

	private EndpointRecord withIntent(EndpointRecord record, PlacementDecision decision, long now) {
		Entry recorded = record.entry(decision.loadable());
		return switch (decision) {
			case PlacementDecision.Load load when recorded == null -> {
				this.progressByLoadable.put(load.loadable(), new EntryProgress(now, load.level(), load.organisation()));
				yield record.with(new Entry(load.loadable(), State.INTENDED, load.memoryBytes(), self(),
						this.context.nextOrderIdentifier(), List.of()));
			}
			case PlacementDecision.Unload unload when recorded != null && recorded.state() == State.LOADED -> {
				this.progressByLoadable.put(unload.loadable(), new EntryProgress(now, Engine.CacheLevel.MEMORY, null));
				yield record.with(recorded.withState(State.UNLOADING).withSender(self()));
			}
			default -> record;
		};
	}

	/**
	 * Returns the state of this endpoint for the planner.
	 * @return the state
	 */
	EndpointState endpointState() {
		EndpointRecord record = this.recordAccess.possibleRecord();
		Map<Loadable, EndpointState.Use> uses = new HashMap<>();
		record.entries().forEach((entry) -> addUse(entry.loadable(), uses));
		Map<Loadable, Engine.CacheLevel> cached = new HashMap<>();
		Reconciliation newest = this.reportPoller.newest();
		if (newest != null) {
			newest.report()
				.cached()
				.forEach((each) -> cached.put(LoadableCodec.ofEngineName(this.pool, each.name()), each.level()));
		}
		long now = this.context.now();
		this.avoidedUntil.values().removeIf((until) -> until <= now);
		return new EndpointState(withReportedMemory(), presence(), record, cached, uses,
				Set.copyOf(this.avoidedUntil.keySet()));
	}

	private void addUse(Loadable loadable, Map<Loadable, EndpointState.Use> uses) {
		EntryProgress progress = this.progressByLoadable.get(loadable);
		if (progress == null) {
			return;
		}
		String identifier = this.endpoint.identifier();
		long lastUse = this.context.demandAggregator().lastUse(identifier, loadable);
		int inFlight = this.context.demandAggregator().inFlight(identifier, loadable);
		uses.merge(loadable, new EndpointState.Use(progress.loadedAt, lastUse, inFlight), EndpointController::merge);
		if (loadable.isAdapter()) {
			uses.merge(loadable.withoutAdapter(), new EndpointState.Use(Long.MIN_VALUE, lastUse, inFlight),
					EndpointController::merge);
		}
	}

	private static EndpointState.Use merge(EndpointState.Use first, EndpointState.Use second) {
		return new EndpointState.Use(Math.max(first.loadedMilliseconds(), second.loadedMilliseconds()),
				Math.max(first.usedMilliseconds(), second.usedMilliseconds()), first.inFlight() + second.inFlight());
	}

	private Pool.Endpoint withReportedMemory() {
		Reconciliation newest = this.reportPoller.newest();
		long reported = (newest != null) ? newest.report().memoryBytes() : 0;
		long memory = (reported > 0) ? Math.min(reported, this.endpoint.memoryBytes()) : this.endpoint.memoryBytes();
		return new Pool.Endpoint(this.endpoint.identifier(), this.endpoint.address(), this.endpoint.failureDomain(),
				memory, this.endpoint.slots(), this.endpoint.checksFencing());
	}

	private EndpointState.Presence presence() {
		if (isGone() || !this.reportPoller.isReachable()) {
			return EndpointState.Presence.UNREACHABLE;
		}
		boolean isLeaving = this.retired || this.listedPresence != EndpointPresence.Presence.LIVE;
		if (isLeaving) {
			return EndpointState.Presence.LEAVING;
		}
		return this.recordAccess.isStable() ? EndpointState.Presence.LIVE : EndpointState.Presence.BUSY;
	}

	/**
	 * Returns whether what this endpoint serves may have changed since the last call.
	 * @return whether {@link #servedLoadables()} has to be called
	 */
	boolean consumeViewChange() {
		boolean wasStale = this.viewIsStale;
		this.viewIsStale = false;
		return wasStale;
	}

	/**
	 * Returns what this endpoint serves as far as is known.
	 * @return the models and adapters that requests may use there
	 */
	Set<Loadable> servedLoadables() {
		Set<Loadable> served = new HashSet<>();
		boolean staysInService = !this.retired && this.listedPresence == EndpointPresence.Presence.LIVE;
		for (Entry entry : this.recordAccess.record().entries()) {
			if (staysInService && entry.state() != State.UNLOADING && isServed(entry)) {
				served.add(entry.loadable());
			}
		}
		return served;
	}

	private boolean isServed(Entry entry) {
		return this.reportPoller.isReachable() ? isReportedLoaded(entry) : entry.state() == State.LOADED;
	}

	/**
	 * Counts the loads in progress at this endpoint.
	 * @param counts the counts to add to
	 */
	void countLoads(LoadCounts counts) {
		if (this.converged) {
			return;
		}
		for (Entry entry : this.recordAccess.possibleRecord().entries()) {
			EntryProgress progress = this.progressByLoadable.get(entry.loadable());
			if (entry.state().isLoading() && !isReportedLoaded(entry)) {
				counts.add(entry.loadable(), (progress != null) ? progress.cacheLevel : Engine.CacheLevel.REMOTE,
						(progress != null) ? progress.organisation : null);
			}
		}
	}

	private boolean isReportedLoaded(Entry entry) {
		Reconciliation newest = this.reportPoller.newest();
		return newest != null && newest.isLoaded(entry.loadable());
	}

	private Sender self() {
		return this.context.self();
	}

	private void log(Event event) {
		this.context.services().log().accept(event.with("endpoint", this.endpoint.identifier()));
	}

}
