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
 * Carries out what was decided for one endpoint during one tenure.
 * <p>
 * Invariants: an order is sent only for an entry of the record that is known to be
 * written, and only while the tenure holds; each step follows from the record and the
 * endpoint's report, so it does not matter which holder made the intent. Guarded by the
 * lock of the store's keeper; callbacks take it.
 */
final class EndpointKeeper {

	private static final long ACTIVE_REPORT_MILLISECONDS = 100;

	private static final long RETRY_MILLISECONDS = 500;

	private static final long AVOID_MILLISECONDS = 5_000;

	private final Map<Loadable, EntryProgress> progress = new HashMap<>();

	private final Map<Loadable, Long> avoidedUntil = new HashMap<>();

	private final Set<Sender> settledSenders = new HashSet<>();

	private final Tenancy tenancy;

	private final QualifiedName pool;

	private final RecordAccess access;

	private final EndpointReports reports;

	private final OrderSender orders;

	private Pool.Endpoint endpoint;

	private boolean askingSenders;

	private long nextSenderCheckAt = Long.MIN_VALUE;

	private boolean retired;

	private boolean quiet;

	private boolean viewIsStale = true;

	private EndpointPresence.@Nullable Presence listed;

	EndpointKeeper(Tenancy tenancy, QualifiedName pool, Pool.Endpoint endpoint) {
		this.tenancy = tenancy;
		this.pool = pool;
		this.endpoint = endpoint;
		this.access = new RecordAccess(tenancy.services().keyValue(), tenancy.tenure(), tenancy.lock(),
				endpoint.identifier());
		this.reports = new EndpointReports(tenancy, this::read, this::awaken, this::reportInterval);
		this.orders = new OrderSender(tenancy, this.reports, this::log);
	}

	private Reconciliation read(EndpointReports.Asked asked) {
		return new Reconciliation(this.pool, asked.report(), asked.sequence(), this.progress, self(),
				this.settledSenders, this.endpoint.checksFencing(), this.tenancy::now);
	}

	private long reportInterval() {
		boolean isSteady = isQuiet(this.access.record()) && this.reports.hasAnswered();
		return isSteady ? this.tenancy.reportIntervalMilliseconds() : ACTIVE_REPORT_MILLISECONDS;
	}

	RecordAccess access() {
		return this.access;
	}

	QualifiedName pool() {
		return this.pool;
	}

	Pool.Endpoint endpoint() {
		return this.endpoint;
	}

	/**
	 * Takes over a changed row of the table of pools.
	 * @param row the row, or {@code null} if the endpoint was taken out
	 */
	void configure(Pool.@Nullable Endpoint row) {
		awaken();
		this.retired = row == null;
		this.endpoint = (row != null) ? row : this.endpoint;
	}

	/**
	 * Returns whether nothing is left to do for an endpoint that was taken out.
	 * @return whether the keeper may be dropped
	 */
	boolean isDone() {
		return this.retired && this.access.isSteady() && this.access.record().entries().isEmpty();
	}

	/**
	 * Returns whether the endpoint was heard of or given up, so that its part of the view
	 * is meaningful.
	 * @return whether the first report came or failed
	 */
	boolean isExplored() {
		return this.reports.isExplored();
	}

	/** Goes on with whatever can be done now. */
	void drive() {
		long now = this.tenancy.now();
		notePresence();
		this.reports.ask(this.endpoint, now);
		if (this.quiet) {
			return;
		}
		this.viewIsStale = true;
		this.access.ensureKnown(now);
		if (!this.access.isSteady()) {
			return;
		}
		EndpointRecord record = this.access.record();
		trackProgress(record, now);
		EndpointRecord next = isGone() ? EndpointRecord.empty(record.endpoint()) : reconcile(adopt(record));
		if (!next.equals(record)) {
			noteEnds(record, next, now);
			this.access.write(next, now);
			return;
		}
		record.entries().forEach((entry) -> order(entry, now));
		askSenders(record, now);
		this.quiet = isQuiet(record);
	}

	private void order(Entry entry, long now) {
		EntryProgress known = this.progress.get(entry.loadable());
		if (known != null) {
			this.orders.order(this.endpoint, entry, known, now);
		}
	}

	private static boolean isQuiet(EndpointRecord record) {
		return record.entries()
			.stream()
			.allMatch((entry) -> entry.state() == State.LOADED && entry.earlier().isEmpty());
	}

	private void awaken() {
		this.quiet = false;
	}

	private void notePresence() {
		EndpointPresence.Presence newest = this.tenancy.services().presence().presence(this.endpoint);
		if (newest != this.listed) {
			this.listed = newest;
			awaken();
		}
	}

	private boolean isGone() {
		return this.reports.isSilent() && (this.retired || this.listed == EndpointPresence.Presence.GONE);
	}

	private void trackProgress(EndpointRecord record, long now) {
		this.progress.keySet().removeIf((loadable) -> record.entry(loadable) == null);
		for (Entry entry : record.entries()) {
			this.progress.computeIfAbsent(entry.loadable(),
					(loadable) -> new EntryProgress(now, Engine.CacheLevel.REMOTE, null));
		}
	}

	private EndpointRecord adopt(EndpointRecord record) {
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
		Reconciliation newest = this.reports.newest();
		return (newest != null) ? newest.apply(record) : record;
	}

	private void noteEnds(EndpointRecord record, EndpointRecord next, long now) {
		for (Entry entry : record.entries()) {
			Entry after = next.entry(entry.loadable());
			EntryProgress known = this.progress.get(entry.loadable());
			if (after == null) {
				noteRemoved(entry, now);
			}
			else if (known != null && entry.state() != State.LOADED && after.state() == State.LOADED) {
				known.loadedAt = now;
				this.tenancy.loaded(entry.loadable(), known.level, now - known.intendedAt);
				log(Event.named("placement.loaded")
					.with("loadable", entry.loadable())
					.with("took_ms", now - known.intendedAt));
			}
		}
	}

	private void noteRemoved(Entry entry, long now) {
		this.tenancy.book().forgetUse(this.endpoint.identifier(), entry.loadable());
		if (entry.state().isLoading()) {
			this.avoidedUntil.put(entry.loadable(), now + AVOID_MILLISECONDS);
		}
		log(Event.named("placement.removed").with("loadable", entry.loadable()).with("state", entry.state()));
	}

	private void askSenders(EndpointRecord record, long now) {
		if (this.askingSenders || now < this.nextSenderCheckAt) {
			return;
		}
		for (Entry entry : record.entries()) {
			for (Sender sender : entry.earlier()) {
				ask(sender, now);
				return;
			}
		}
	}

	private void ask(Sender sender, long now) {
		this.askingSenders = true;
		this.nextSenderCheckAt = now + RETRY_MILLISECONDS;
		this.tenancy.isSettled(sender).whenComplete((settled, failure) -> {
			synchronized (this.tenancy.lock()) {
				this.askingSenders = false;
				if (failure == null && settled) {
					this.settledSenders.add(sender);
				}
			}
		});
	}

	/**
	 * Writes the intents that decisions ask for. Has no effect unless the record is
	 * steady.
	 * @param decisions the loads and unloads decided for this endpoint
	 */
	void intend(Iterable<PlacementDecision> decisions) {
		long now = this.tenancy.now();
		if (!this.access.isSteady()) {
			return;
		}
		EndpointRecord next = this.access.record();
		for (PlacementDecision decision : decisions) {
			next = intend(next, decision, now);
		}
		if (!next.equals(this.access.record())) {
			awaken();
			this.access.write(next, now);
			this.reports.hasten(now);
		}
	}

	private EndpointRecord intend(EndpointRecord record, PlacementDecision decision, long now) {
		Entry held = record.entry(decision.loadable());
		return switch (decision) {
			case PlacementDecision.Load load when held == null -> {
				this.progress.put(load.loadable(), new EntryProgress(now, load.level(), load.organisation()));
				yield record.with(new Entry(load.loadable(), State.INTENDED, load.memoryBytes(), self(),
						this.tenancy.nextOrder(), List.of()));
			}
			case PlacementDecision.Unload unload when held != null && held.state() == State.LOADED -> {
				this.progress.put(unload.loadable(), new EntryProgress(now, Engine.CacheLevel.MEMORY, null));
				yield record.with(held.withState(State.UNLOADING).withSender(self()));
			}
			default -> record;
		};
	}

	/**
	 * Returns this endpoint as the planner sees it.
	 * @return the state
	 */
	EndpointState state() {
		EndpointRecord record = this.access.possible();
		Map<Loadable, EndpointState.Use> uses = new HashMap<>();
		record.entries().forEach((entry) -> addUse(entry.loadable(), uses));
		Map<Loadable, Engine.CacheLevel> cached = new HashMap<>();
		Reconciliation newest = this.reports.newest();
		if (newest != null) {
			newest.report()
				.cached()
				.forEach((each) -> cached.put(LoadableCodec.ofEngineName(this.pool, each.name()), each.level()));
		}
		long now = this.tenancy.now();
		this.avoidedUntil.values().removeIf((until) -> until <= now);
		return new EndpointState(withReportedMemory(), presence(), record, cached, uses,
				Set.copyOf(this.avoidedUntil.keySet()));
	}

	private void addUse(Loadable loadable, Map<Loadable, EndpointState.Use> uses) {
		EntryProgress known = this.progress.get(loadable);
		if (known == null) {
			return;
		}
		String identifier = this.endpoint.identifier();
		long used = this.tenancy.book().lastUse(identifier, loadable);
		int inFlight = this.tenancy.book().inFlight(identifier, loadable);
		uses.merge(loadable, new EndpointState.Use(known.loadedAt, used, inFlight), EndpointKeeper::sum);
		if (loadable.isAdapter()) {
			uses.merge(loadable.withoutAdapter(), new EndpointState.Use(Long.MIN_VALUE, used, inFlight),
					EndpointKeeper::sum);
		}
	}

	private static EndpointState.Use sum(EndpointState.Use first, EndpointState.Use second) {
		return new EndpointState.Use(Math.max(first.loadedMilliseconds(), second.loadedMilliseconds()),
				Math.max(first.usedMilliseconds(), second.usedMilliseconds()), first.inFlight() + second.inFlight());
	}

	private Pool.Endpoint withReportedMemory() {
		Reconciliation newest = this.reports.newest();
		long reported = (newest != null) ? newest.report().memoryBytes() : 0;
		long memory = (reported > 0) ? Math.min(reported, this.endpoint.memoryBytes()) : this.endpoint.memoryBytes();
		return new Pool.Endpoint(this.endpoint.identifier(), this.endpoint.address(), this.endpoint.failureDomain(),
				memory, this.endpoint.slots(), this.endpoint.checksFencing());
	}

	private EndpointState.Presence presence() {
		if (isGone() || !this.reports.isReachable()) {
			return EndpointState.Presence.UNREACHABLE;
		}
		boolean leaves = this.retired || this.listed != EndpointPresence.Presence.LIVE;
		if (leaves) {
			return EndpointState.Presence.LEAVING;
		}
		return this.access.isSteady() ? EndpointState.Presence.LIVE : EndpointState.Presence.BUSY;
	}

	/**
	 * Returns whether what this endpoint serves may have changed since the last question.
	 * @return whether {@link #serving()} is to be asked
	 */
	boolean takeViewChange() {
		boolean wasStale = this.viewIsStale;
		this.viewIsStale = false;
		return wasStale;
	}

	/**
	 * Returns what this endpoint serves as far as is known.
	 * @return the loadables that requests may be sent for
	 */
	Set<Loadable> serving() {
		Set<Loadable> serving = new HashSet<>();
		boolean stays = !this.retired && this.listed == EndpointPresence.Presence.LIVE;
		for (Entry entry : this.access.record().entries()) {
			if (stays && entry.state() != State.UNLOADING && serves(entry)) {
				serving.add(entry.loadable());
			}
		}
		return serving;
	}

	private boolean serves(Entry entry) {
		return this.reports.isReachable() ? isReportedLoaded(entry) : entry.state() == State.LOADED;
	}

	/**
	 * Counts the loads under way.
	 * @param counts receives them
	 */
	void countLoading(LoadCounts counts) {
		if (this.quiet) {
			return;
		}
		for (Entry entry : this.access.possible().entries()) {
			EntryProgress known = this.progress.get(entry.loadable());
			if (entry.state().isLoading() && !isReportedLoaded(entry)) {
				counts.add(entry.loadable(), (known != null) ? known.level : Engine.CacheLevel.REMOTE,
						(known != null) ? known.organisation : null);
			}
		}
	}

	private boolean isReportedLoaded(Entry entry) {
		Reconciliation newest = this.reports.newest();
		return newest != null && newest.isLoaded(entry.loadable());
	}

	private Sender self() {
		return this.tenancy.self();
	}

	private void log(Event event) {
		this.tenancy.services().log().accept(event.with("endpoint", this.endpoint.identifier()));
	}

}
