package org.masticshelf.standins.keyvalue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A key-value service in memory, with faults that tests switch.
 * <p>
 * The store is itself a client; {@link #httpClient()} makes further clients whose way to
 * the store has fault switches of its own, so that a test can cut off one daemon. Without
 * faults a call takes effect and completes on the caller's thread, and watches report
 * before the call returns unless another thread is reporting. Leases run by the injected
 * clock and are looked at with each call and by {@link #expireLeases()}.
 * <p>
 * Invariants: calls take effect one after the other; each watch is told of changes in the
 * order of their revisions unless a fault is switched on. Safe for use by several
 * threads; listeners are called without any lock held.
 */
public final class InMemoryKeyValue implements KeyValueStore {

	private final MonotonicClock clock;

	private final Object lock = new Object();

	private final Map<KeyValueCall, Long> calls = new EnumMap<>(KeyValueCall.class);

	private final Set<RunningWatch> watches = new LinkedHashSet<>();

	private final List<Runnable> restoreListeners = new CopyOnWriteArrayList<>();

	private final ReportQueue reports = new ReportQueue();

	private final KeyValueFaults faults = new KeyValueFaults(() -> breakWatches("the service is down"));

	private final Client ownClient = new Client(this);

	private KeyValueState state = new KeyValueState();

	/**
	 * Creates an empty store.
	 * @param clock the clock by which leases run
	 */
	public InMemoryKeyValue(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Creates a further client of this store with fault switches of its own.
	 * @return the client
	 */
	public Client client() {
		return new Client(this);
	}

	/**
	 * Returns the fault switches that hold for all clients.
	 * @return the switches of the service
	 */
	public KeyValueFaults faults() {
		return this.faults;
	}

	/**
	 * Returns how often a kind of call was made by all clients, failed ones included.
	 * @param call the kind of call
	 * @return the number of calls
	 */
	public long count(KeyValueCall call) {
		synchronized (this.lock) {
			return this.calls.getOrDefault(call, 0L);
		}
	}

	/**
	 * Returns how many watches run.
	 * @return the number of running watches
	 */
	public int watchCount() {
		synchronized (this.lock) {
			return this.watches.size();
		}
	}

	/**
	 * Returns the revision of the last change.
	 * @return the revision
	 */
	public long revision() {
		synchronized (this.lock) {
			return this.state.revision();
		}
	}

	/**
	 * Copies the present state, to restore it later.
	 * @return the copy
	 */
	public KeyValueState snapshotState() {
		synchronized (this.lock) {
			return this.state.copy();
		}
	}

	/**
	 * Puts an earlier state in place, as after a restore from a backup. Breaks all
	 * watches.
	 * @param earlier the state
	 */
	public void restore(KeyValueState earlier) {
		synchronized (this.lock) {
			this.state = earlier.copy();
		}
		breakWatches("the service was restored");
	}

	/**
	 * Puts an earlier state in place and tells all clients, which are given revisions
	 * above those from before. Breaks all watches.
	 * @param earlier the state
	 */
	public void restoreInOrder(KeyValueState earlier) {
		synchronized (this.lock) {
			long reached = this.state.revision();
			this.state = earlier.copy();
			this.state.skipRevisions(reached + 1);
		}
		this.restoreListeners.forEach(Runnable::run);
		breakWatches("the service was restored");
	}

	/**
	 * Ends the leases that have run out and reports the deletions.
	 */
	public void expireLeases() {
		synchronized (this.lock) {
			long before = this.state.revision();
			this.state.expireLeases(this.clock.nanoseconds());
			queueReports(before);
		}
		this.reports.drain();
	}

	/**
	 * Forgets the history up to the present revision.
	 */
	public void compact() {
		synchronized (this.lock) {
			this.state.compact(this.state.revision());
		}
	}

	/**
	 * Breaks all running watches.
	 * @param reason what the listeners are told
	 */
	public void breakWatches(String reason) {
		breakWatches(reason, (watch) -> true);
	}

	@Override
	public CompletableFuture<Entry> get(String key) {
		return this.ownClient.get(key);
	}

	@Override
	public CompletableFuture<Snapshot> list(String prefix) {
		return this.ownClient.list(prefix);
	}

	@Override
	public CompletableFuture<Outcome> transact(Transaction transaction) {
		return this.ownClient.transact(transaction);
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return this.ownClient.grantLease(timeToLive);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(long lease) {
		return this.ownClient.keepAlive(lease);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return this.ownClient.revokeLease(lease);
	}

	@Override
	public void addRestoreListener(Runnable listener) {
		this.restoreListeners.add(listener);
	}

	@Override
	public Watch watch(String prefix, long fromRevision, WatchListener listener) {
		return this.ownClient.watch(prefix, fromRevision, listener);
	}

	@Override
	public void close() {
		this.ownClient.close();
	}

	private <T> CompletableFuture<T> call(Client client, KeyValueCall call, Function<KeyValueState, T> step) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		synchronized (this.lock) {
			this.calls.merge(call, 1L, Long::sum);
		}
		Runnable abandon = () -> answer
			.completeExceptionally(new KeyValueFailure(call + ": the service went down", true));
		Runnable atService = () -> this.faults
			.passRequest(new KeyValueFaults.Held(() -> perform(client, call, step, answer), abandon));
		client.faults.passRequest(new KeyValueFaults.Held(atService, abandon));
		return answer;
	}

	private <T> void perform(Client client, KeyValueCall call, Function<KeyValueState, T> step,
			CompletableFuture<T> answer) {
		if (this.faults.isDown() || client.faults.isDown()) {
			answer.completeExceptionally(new KeyValueFailure(call + ": cannot connect to the service", false));
			return;
		}
		Runnable outcome;
		synchronized (this.lock) {
			long before = this.state.revision();
			this.state.expireLeases(this.clock.nanoseconds());
			outcome = outcome(call, step, answer);
			queueReports(before);
		}
		this.reports.drain();
		if (this.faults.losesAnswer(call) || client.faults.losesAnswer(call)) {
			answer.completeExceptionally(new KeyValueFailure(call + ": the answer was lost", true));
			return;
		}
		Runnable abandon = () -> answer
			.completeExceptionally(new KeyValueFailure(call + ": no answer before the service went down", true));
		Runnable atClient = () -> client.faults.passAnswer(new KeyValueFaults.Held(outcome, abandon));
		this.faults.passAnswer(new KeyValueFaults.Held(atClient, abandon));
	}

	private <T> Runnable outcome(KeyValueCall call, Function<KeyValueState, T> step, CompletableFuture<T> answer) {
		try {
			T value = step.apply(this.state);
			return () -> answer.complete(value);
		}
		catch (KeyValueFailure failure) {
			return () -> answer.completeExceptionally(new KeyValueFailure(call + ": " + failure.getMessage(), false));
		}
	}

	private void queueReports(long afterRevision) {
		if (this.state.revision() == afterRevision) {
			return;
		}
		for (RunningWatch watch : this.watches) {
			long from = Math.max(watch.fromRevision(), afterRevision + 1);
			for (KeyValueState.Change change : this.state.changesSince(watch.prefix(), from)) {
				this.reports.add(() -> pass(watch, change));
			}
		}
	}

	private void pass(RunningWatch watch, KeyValueState.Change change) {
		this.faults.passBatch(() -> watch.client().faults.passBatch(() -> watch.changed(change)));
	}

	private void breakWatches(String reason, Function<RunningWatch, Boolean> selection) {
		List<RunningWatch> broken = new ArrayList<>();
		synchronized (this.lock) {
			for (RunningWatch watch : this.watches) {
				if (selection.apply(watch)) {
					broken.add(watch);
				}
			}
			broken.forEach(this.watches::remove);
		}
		broken.forEach((watch) -> watch.breakWith(reason));
	}

	private void forget(RunningWatch watch) {
		synchronized (this.lock) {
			this.watches.remove(watch);
		}
	}

	private Watch start(RunningWatch watch) {
		String refusal;
		synchronized (this.lock) {
			this.calls.merge(KeyValueCall.WATCH, 1L, Long::sum);
			refusal = refusal(watch);
			if (refusal == null) {
				this.watches.add(watch);
				if (watch.fromRevision() > 0) {
					this.state.changesSince(watch.prefix(), watch.fromRevision())
						.forEach((change) -> this.reports.add(() -> pass(watch, change)));
				}
			}
		}
		if (refusal != null) {
			watch.breakWith(refusal);
		}
		this.reports.drain();
		return watch;
	}

	private @Nullable String refusal(RunningWatch watch) {
		if (this.faults.isDown() || watch.client().faults.isDown()) {
			return "cannot connect to the service";
		}
		if (watch.fromRevision() > 0 && watch.fromRevision() <= this.state.compactedRevision()) {
			return "revision " + watch.fromRevision() + " has been compacted";
		}
		return null;
	}

	/**
	 * One client's view of the store, with fault switches of its own.
	 * <p>
	 * Safe for use by several threads.
	 */
	public static final class Client implements KeyValueStore {

		private final InMemoryKeyValue store;

		private final KeyValueFaults faults;

		private Client(InMemoryKeyValue store) {
			this.store = store;
			this.faults = new KeyValueFaults(
					() -> store.breakWatches("the client is cut off", (watch) -> watch.client() == this));
		}

		/**
		 * Returns the fault switches of this client's way to the store.
		 * @return the switches
		 */
		public KeyValueFaults faults() {
			return this.faults;
		}

		@Override
		public CompletableFuture<Entry> get(String key) {
			return this.store.call(this, KeyValueCall.GET, (state) -> state.get(key));
		}

		@Override
		public CompletableFuture<Snapshot> list(String prefix) {
			return this.store.call(this, KeyValueCall.LIST,
					(state) -> new Snapshot(state.list(prefix), state.revision()));
		}

		@Override
		public CompletableFuture<Outcome> transact(Transaction transaction) {
			return this.store.call(this, KeyValueCall.TRANSACT, (state) -> state.transact(transaction));
		}

		@Override
		public CompletableFuture<Long> grantLease(Duration timeToLive) {
			return this.store.call(this, KeyValueCall.GRANT_LEASE,
					(state) -> state.grantLease(timeToLive, this.store.clock.nanoseconds()));
		}

		@Override
		public CompletableFuture<Duration> keepAlive(long lease) {
			return this.store.call(this, KeyValueCall.KEEP_ALIVE,
					(state) -> state.keepAlive(lease, this.store.clock.nanoseconds()));
		}

		@Override
		public CompletableFuture<Void> revokeLease(long lease) {
			return this.store.call(this, KeyValueCall.REVOKE_LEASE, (state) -> {
				state.revokeLease(lease);
				return true;
			}).thenAccept((done) -> {
			});
		}

		@Override
		public void addRestoreListener(Runnable listener) {
			this.store.addRestoreListener(() -> {
				if (!this.faults.isDown()) {
					listener.run();
				}
			});
		}

		@Override
		public Watch watch(String prefix, long fromRevision, WatchListener listener) {
			return this.store.start(new RunningWatch(this, prefix, fromRevision, listener, this.store::forget));
		}

		@Override
		public void close() {
			List<RunningWatch> open;
			synchronized (this.store.lock) {
				open = this.store.watches.stream().filter((watch) -> watch.client() == this).toList();
			}
			open.forEach(RunningWatch::close);
		}

	}

}
