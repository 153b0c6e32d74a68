package org.masticshelf.control.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.EndpointRecord;
import org.masticshelf.kernel.placement.EndpointRecord.Entry;
import org.masticshelf.kernel.placement.EndpointRecord.Sender;
import org.masticshelf.kernel.placement.EndpointRecord.State;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.port.Engine;

/**
 * Reconciles an endpoint's record with the endpoint's report.
 * <p>
 * Invariant: an entry is removed from the record only if it is absent from a report that
 * was requested after its last order had ended, and neither an order of this holder nor
 * one of a former holder can still arrive. Guarded by the lock of the store's controller.
 */
final class Reconciliation {

	private static final long RETRY_DELAY_MILLISECONDS = 500;

	private final Map<Loadable, Engine.Item> items = new HashMap<>();

	private final Map<Loadable, EntryProgress> progressByLoadable;

	private final Sender self;

	private final Set<Sender> settledSenders;

	private final Engine.Report report;

	private final long reportSequence;

	private final boolean endpointRefusesFormerSenders;

	private final LongSupplier clock;

	/**
	 * Creates a reconciliation.
	 * @param pool the pool of the endpoint
	 * @param report the newest report
	 * @param reportSequence the number of the poll that requested the report
	 * @param progressByLoadable the state of the entries at this holder
	 * @param self this holder as a sender of orders
	 * @param settledSenders former holders that certainly send no further orders
	 * @param checksFencing whether the endpoint refuses old fencing numbers
	 * @param clock returns the time in milliseconds
	 */
	Reconciliation(QualifiedName pool, Engine.Report report, long reportSequence,
			Map<Loadable, EntryProgress> progressByLoadable, Sender self, Set<Sender> settledSenders,
			boolean checksFencing, LongSupplier clock) {
		report.items().forEach((item) -> this.items.put(LoadableCodec.ofEngineName(pool, item.name()), item));
		this.report = report;
		this.reportSequence = reportSequence;
		this.progressByLoadable = progressByLoadable;
		this.self = self;
		this.settledSenders = settledSenders;
		this.endpointRefusesFormerSenders = checksFencing && report.highestFencing() >= self.fencing();
		this.clock = clock;
	}

	/**
	 * Applies the report to a record.
	 * @param record the record to reconcile
	 * @return the reconciled record, equal to the given one if nothing differs
	 */
	EndpointRecord apply(EndpointRecord record) {
		EndpointRecord next = record;
		for (Entry entry : record.entries()) {
			EntryProgress progress = this.progressByLoadable.get(entry.loadable());
			Entry changed = (progress != null) ? reconcile(withoutSettledSenders(entry), progress) : entry;
			next = (changed != null) ? replace(next, entry, changed) : next.without(entry.loadable());
		}
		for (Map.Entry<Loadable, Engine.Item> item : this.items.entrySet()) {
			if (record.entry(item.getKey()) == null) {
				next = next.with(unrecorded(item.getKey(), item.getValue()));
			}
		}
		return next;
	}

	private static EndpointRecord replace(EndpointRecord record, Entry entry, Entry changed) {
		return changed.equals(entry) ? record : record.with(changed);
	}

	private Entry withoutSettledSenders(Entry entry) {
		if (entry.earlier().isEmpty()) {
			return entry;
		}
		return entry
			.withoutEarlier(this.endpointRefusesFormerSenders ? entry.earlier() : List.copyOf(this.settledSenders));
	}

	private Entry unrecorded(Loadable loadable, Engine.Item item) {
		State state = (item.state() == Engine.ItemState.LOADED) ? State.LOADED : State.DOUBTFUL;
		return new Entry(loadable, state, item.memoryBytes(), this.self, "found", List.of());
	}

	private @Nullable Entry reconcile(Entry entry, EntryProgress progress) {
		Engine.Item item = this.items.get(entry.loadable());
		return switch (entry.state()) {
			case INTENDED, DOUBTFUL ->
				(item != null) ? reconcilePresent(entry, item, progress) : reconcileMissing(entry, progress);
			case LOADED -> (item != null || !reflectsLastOrder(progress)) ? entry : reconcileLost(entry, progress);
			case UNLOADING -> (item != null) ? reconcileUnloading(entry, progress) : reconcileUnloaded(entry, progress);
		};
	}

	private Entry reconcilePresent(Entry entry, Engine.Item item, EntryProgress progress) {
		boolean isLoaded = item.state() == Engine.ItemState.LOADED;
		return (isLoaded && progress.accepted && progress.isSettled(this.clock.getAsLong()))
				? entry.withState(State.LOADED) : entry;
	}

	private @Nullable Entry reconcileMissing(Entry entry, EntryProgress progress) {
		if (!reflectsLastOrder(progress) || !(progress.accepted || progress.refused)) {
			return entry;
		}
		if (mayRemove(entry, progress)) {
			return null;
		}
		progress.retryAt(this.clock.getAsLong() + RETRY_DELAY_MILLISECONDS);
		return entry;
	}

	private @Nullable Entry reconcileLost(Entry entry, EntryProgress progress) {
		if (mayRemove(entry, progress)) {
			return null;
		}
		progress.retryAt(this.clock.getAsLong());
		return entry.withState(State.DOUBTFUL).withSender(this.self);
	}

	private Entry reconcileUnloading(Entry entry, EntryProgress progress) {
		if (progress.accepted && reflectsLastOrder(progress)) {
			progress.retryAt(this.clock.getAsLong() + RETRY_DELAY_MILLISECONDS);
		}
		return entry;
	}

	private @Nullable Entry reconcileUnloaded(Entry entry, EntryProgress progress) {
		return (progress.accepted && reflectsLastOrder(progress) && mayRemove(entry, progress)) ? null : entry;
	}

	private boolean mayRemove(Entry entry, EntryProgress progress) {
		return progress.isSettled(this.clock.getAsLong()) && entry.earlier().isEmpty();
	}

	private boolean reflectsLastOrder(EntryProgress progress) {
		return this.reportSequence > progress.lastOrderSequence && !progress.orderInFlight;
	}

	/**
	 * Returns whether the endpoint reports a loadable as loaded.
	 * @param loadable the model or adapter
	 * @return whether the endpoint can serve it
	 */
	boolean isLoaded(Loadable loadable) {
		Engine.Item item = this.items.get(loadable);
		return item != null && item.state() == Engine.ItemState.LOADED;
	}

	/**
	 * Returns the report that is applied.
	 * @return the report
	 */
	Engine.Report report() {
		return this.report;
	}

}
