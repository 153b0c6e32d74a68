package org.masticshelf.control.duty;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.KeyValueStore.Condition;
import org.masticshelf.kernel.port.KeyValueStore.Entry;
import org.masticshelf.kernel.port.KeyValueStore.Operation;

/**
 * One duty as this daemon observes it.
 * <p>
 * Invariant: a tenure was created by this daemon's own transaction under the lease that
 * it names, and ends at once when that lease is not certainly held. A key that is found
 * after the service was restored, or that is created soon after, gives no tenure before
 * the leases from before have ended, unless this daemon held the duty at that moment.
 * Safe for use by several threads; listeners are called without the lock held.
 */
final class LeasedDuty implements Duty {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private static final int JITTER_MILLISECONDS = 200;

	private final String name;

	private final String key;

	private final LeasedDuties.Context context;

	private final ToIntFunction<String> heldCount;

	private final List<Listener> listeners = new CopyOnWriteArrayList<>();

	private @Nullable HeldTenure held;

	private @Nullable Long attemptAt;

	private int relaysWhenAttemptPlanned;

	private boolean attempting;

	private boolean closed;

	private @Nullable Long restoredAt;

	private boolean heldWhenRestored;

	private long revisionWhenRestored;

	LeasedDuty(String name, LeasedDuties.Context context, ToIntFunction<String> heldCount) {
		this.name = name;
		this.key = LeasedDuties.PREFIX + name;
		this.context = context;
		this.heldCount = heldCount;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public synchronized @Nullable Tenure tenure() {
		HeldTenure current = this.held;
		if (current == null || current.lease != this.context.lease().heldIdentifier()) {
			return null;
		}
		return (current.continued || !isRestoredLately()) ? current.tenure : null;
	}

	private synchronized boolean isRestoredLately() {
		return this.restoredAt != null
				&& this.context.clock().nanoseconds() - this.restoredAt < this.context.lease().timeToLive().toNanos();
	}

	/**
	 * Ends the tenure because the service was restored, until the key is found or created
	 * again.
	 */
	void suspend() {
		HeldTenure suspended;
		synchronized (this) {
			boolean again = isRestoredLately();
			boolean holding = tenure() != null;
			this.heldWhenRestored = holding || (again && this.heldWhenRestored);
			this.restoredAt = this.context.clock().nanoseconds();
			this.revisionWhenRestored = this.context.view().revision();
			suspended = this.held;
			this.held = null;
			this.attemptAt = null;
		}
		if (suspended != null) {
			this.context.log()
				.accept(Event.named("duty.suspended")
					.with("duty", this.name)
					.with("fencing", suspended.tenure.fencing()));
			this.listeners.forEach(Listener::lost);
		}
	}

	@Override
	public @Nullable Holder holder() {
		if (tenure() != null) {
			return self();
		}
		Entry entry = this.context.view().find(this.key);
		return (entry != null) ? parse(entry.value()) : null;
	}

	private Holder self() {
		return new Holder(this.context.members().self().incarnation(), this.context.members().self().address());
	}

	private static @Nullable Holder parse(@Nullable String value) {
		if (value == null) {
			return null;
		}
		try {
			return MAPPER.readValue(value, Holder.class);
		}
		catch (JsonProcessingException ex) {
			return null;
		}
	}

	@Override
	public void addListener(Listener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Updates the tenure from the lease and the copy of the keys.
	 */
	void checkTenure() {
		if (!isViewCurrent()) {
			return;
		}
		Entry entry = this.context.view().find(this.key);
		long lease = this.context.lease().heldIdentifier();
		HeldTenure lost = null;
		synchronized (this) {
			HeldTenure current = this.held;
			if (current != null && (current.lease != lease || isSuperseded(current, entry))) {
				lost = current;
				this.held = null;
			}
		}
		if (lost != null) {
			this.context.log()
				.accept(Event.named("duty.lost").with("duty", this.name).with("fencing", lost.tenure.fencing()));
			this.listeners.forEach(Listener::lost);
		}
		if (entry != null && lease != 0 && entry.lease() == lease) {
			gain(entry.createRevision(), lease);
		}
	}

	// Until the keys are listed again, the copy shows what may be lost.
	private boolean isViewCurrent() {
		synchronized (this) {
			if (this.restoredAt == null) {
				return true;
			}
		}
		return this.context.view().listedRevision() > this.revisionWhenRestored;
	}

	private static boolean isSuperseded(HeldTenure current, @Nullable Entry entry) {
		return entry != null && entry.createRevision() > current.tenure.fencing();
	}

	/**
	 * Detects the end of a tenure and competes if the duty has been vacant for long
	 * enough.
	 * @return completed when the service has answered or failed
	 */
	CompletableFuture<Void> round() {
		checkTenure();
		long lease = this.context.lease().heldIdentifier();
		boolean vacant = isViewCurrent() && this.context.view().find(this.key) == null;
		int relays = this.heldCount.applyAsInt(DutyCandidacy.RELAY_PREFIX);
		int count = this.heldCount.applyAsInt("");
		synchronized (this) {
			if (!vacant || lease == 0 || this.held != null || this.closed || this.attempting) {
				this.attemptAt = null;
				return CompletableFuture.completedFuture(null);
			}
			if (this.attemptAt == null || relays > this.relaysWhenAttemptPlanned) {
				this.attemptAt = planAttempt(count, relays);
				this.relaysWhenAttemptPlanned = relays;
			}
			if (this.attemptAt == null || this.context.clock().nanoseconds() - this.attemptAt < 0) {
				return CompletableFuture.completedFuture(null);
			}
			this.attempting = true;
			this.attemptAt = null;
		}
		return attempt(lease).whenComplete((done, failure) -> endAttempt());
	}

	private @Nullable Long planAttempt(int count, int relays) {
		if (isRestoredLately()) {
			return this.heldWhenRestored ? Long.valueOf(this.context.clock().nanoseconds()) : null;
		}
		long wait = DutyCandidacy.waitMilliseconds(this.name, this.context.members().self(),
				this.context.members().members(), count, relays, this.context.random().nextInt(JITTER_MILLISECONDS));
		long now = this.context.clock().nanoseconds();
		return (wait >= 0) ? Long.valueOf(now + TimeUnit.MILLISECONDS.toNanos(wait)) : null;
	}

	/**
	 * Returns whether this daemon holds the duty or is trying to create its key.
	 * @return whether it counts as one of the daemon's duties
	 */
	synchronized boolean isHeldOrAttempted() {
		return this.attempting || tenure() != null;
	}

	private synchronized void endAttempt() {
		this.attempting = false;
	}

	private CompletableFuture<Void> attempt(long lease) {
		String value;
		try {
			value = MAPPER.writeValueAsString(self());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a holder can always be written as JSON", ex);
		}
		KeyValueStore.Transaction create = new KeyValueStore.Transaction(List.of(new Condition.CreatedAt(this.key, 0)),
				List.of(new Operation.Put(this.key, value, lease)));
		return this.context.store().transact(create).thenAccept((outcome) -> {
			if (outcome.applied()) {
				gain(outcome.revision(), lease);
			}
		}).exceptionallyCompose((failure) -> readBack(lease)).exceptionally((failure) -> null);
	}

	// The answer was lost, so the key is read to find out whether the transaction took
	// effect.
	private CompletableFuture<Void> readBack(long lease) {
		return this.context.store().get(this.key).thenAccept((entry) -> {
			if (entry.value() != null && entry.lease() == lease) {
				gain(entry.createRevision(), lease);
			}
		});
	}

	private void gain(long fencing, long lease) {
		Tenure tenure = new Tenure(this.key, fencing);
		synchronized (this) {
			boolean known = this.held != null && this.held.tenure.equals(tenure);
			if (known || this.closed || this.context.lease().heldIdentifier() != lease) {
				return;
			}
			this.held = new HeldTenure(tenure, lease, this.heldWhenRestored && isRestoredLately());
		}
		this.context.log().accept(Event.named("duty.gained").with("duty", this.name).with("fencing", fencing));
		this.listeners.forEach((listener) -> listener.gained(tenure));
	}

	/**
	 * Ends the tenure, stops competing, and deletes the key so that others can take the
	 * duty at once.
	 * @return completed when the service has answered or failed
	 */
	CompletableFuture<Void> handOver() {
		HeldTenure handedOver;
		synchronized (this) {
			handedOver = this.held;
			this.held = null;
			this.closed = true;
		}
		if (handedOver == null) {
			return CompletableFuture.completedFuture(null);
		}
		this.listeners.forEach(Listener::lost);
		// The key is never written again, so its modify revision equals its create
		// revision.
		Condition unchanged = new Condition.ModifiedAt(this.key, handedOver.tenure.fencing());
		return this.context.store()
			.transact(new KeyValueStore.Transaction(List.of(unchanged), List.of(new Operation.Delete(this.key))))
			.handle((outcome, failure) -> {
				this.context.log()
					.accept(Event.named("duty.handed_over")
						.with("duty", this.name)
						.with("fencing", handedOver.tenure.fencing())
						.with("taken_back", failure == null && outcome.applied())
						.with("cause", (failure != null) ? failure.toString() : "none"));
				return null;
			});
	}

	/**
	 * A tenure and its lease.
	 *
	 * @param tenure the tenure
	 * @param lease the lease that the key is bound to
	 * @param continued whether it continues one from the moment at which the service was
	 * restored
	 */
	private record HeldTenure(Tenure tenure, long lease, boolean continued) {
	}

}
