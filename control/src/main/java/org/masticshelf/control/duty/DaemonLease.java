package org.masticshelf.control.duty;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The lease of a daemon, to which its member key and all its duties are bound.
 * <p>
 * Invariant: the lease counts as held only until its time to live after the last
 * successful renewal was <em>sent</em>, so it ends here before it ends in the service. A
 * lease that has lapsed, even for an instant, is used again only if it was created as
 * {@linkplain #resuming resuming} and the service has renewed it; otherwise a new one
 * replaces it. Safe for use by several threads.
 */
public final class DaemonLease {

	/** The default time for which the lease lives without renewal. */
	public static final Duration TIME_TO_LIVE = Duration.ofSeconds(6);

	private static final int RENEWALS_PER_TIME_TO_LIVE = 3;

	private final KeyValueStore store;

	private final MonotonicClock clock;

	private final Duration timeToLive;

	private final boolean resuming;

	private final Consumer<Event> log;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private long identifier;

	private long lapsedIdentifier;

	private long validUntil;

	private long nextSendAt;

	private boolean closed;

	/**
	 * Creates a lease that is not held yet.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param log receives the events
	 */
	public DaemonLease(KeyValueStore store, MonotonicClock clock, Consumer<Event> log) {
		this(store, clock, TIME_TO_LIVE, false, log);
	}

	/**
	 * Creates a lease that is not held yet and that resumes after a lapse if the service
	 * still knows it. This is safe because nobody else can have taken the keys bound to
	 * it in the meantime.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param timeToLive how long the lease lives without renewal
	 * @param log receives the events
	 * @return the lease
	 */
	public static DaemonLease resuming(KeyValueStore store, MonotonicClock clock, Duration timeToLive,
			Consumer<Event> log) {
		return new DaemonLease(store, clock, timeToLive, true, log);
	}

	private DaemonLease(KeyValueStore store, MonotonicClock clock, Duration timeToLive, boolean resuming,
			Consumer<Event> log) {
		this.store = store;
		this.clock = clock;
		this.timeToLive = timeToLive;
		this.resuming = resuming;
		this.log = log;
		this.nextSendAt = clock.nanoseconds();
		store.addRestoreListener(this::checkSoon);
	}

	/**
	 * Returns how long the lease lives without renewal.
	 * @return the time to live
	 */
	public Duration timeToLive() {
		return this.timeToLive;
	}

	// The service may have lost the lease.
	private synchronized void checkSoon() {
		this.nextSendAt = this.clock.nanoseconds();
	}

	/**
	 * Returns the identifier of the lease if it is certainly held now.
	 * @return the identifier, 0 if it is not certainly held
	 */
	public synchronized long heldIdentifier() {
		return (this.clock.nanoseconds() - this.validUntil < 0) ? this.identifier : 0;
	}

	/**
	 * Adds a listener that is called after a lease was gained or lost.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Renews the lease or requests one, if that is due.
	 * @return completed when the service has answered or failed
	 */
	public CompletableFuture<Void> round() {
		long now = this.clock.nanoseconds();
		long lapsed = 0;
		long current;
		long former;
		synchronized (this) {
			if (this.closed) {
				return CompletableFuture.completedFuture(null);
			}
			if (this.identifier != 0 && now - this.validUntil >= 0) {
				lapsed = this.identifier;
				this.identifier = 0;
				this.lapsedIdentifier = this.resuming ? lapsed : 0;
				this.nextSendAt = now;
			}
			if (now - this.nextSendAt < 0) {
				return CompletableFuture.completedFuture(null);
			}
			this.nextSendAt = now + this.timeToLive.dividedBy(RENEWALS_PER_TIME_TO_LIVE).toNanos();
			current = this.identifier;
			former = this.lapsedIdentifier;
		}
		if (lapsed != 0) {
			this.log.accept(Event.named("lease.lapsed").with("lease", lapsed));
			this.listeners.forEach(Runnable::run);
			if (!this.resuming) {
				this.store.revokeLease(lapsed).exceptionally((failure) -> null);
			}
		}
		if (current != 0) {
			return renew(current, now);
		}
		return (former != 0) ? resume(former, now) : grant(now);
	}

	// A remaining time of zero means that the service has ended the lease; a new one is
	// then requested.
	private CompletableFuture<Void> resume(long former, long sentAt) {
		return this.store.keepAlive(former).thenAccept((remaining) -> {
			long until = sentAt + Math.min(remaining.toNanos(), this.timeToLive.toNanos());
			synchronized (this) {
				if (this.lapsedIdentifier != former || this.closed) {
					return;
				}
				this.lapsedIdentifier = 0;
				if (this.clock.nanoseconds() - until >= 0) {
					this.nextSendAt = this.clock.nanoseconds();
					return;
				}
				this.identifier = former;
				this.validUntil = until;
			}
			this.log.accept(Event.named("lease.resumed").with("lease", former));
			this.listeners.forEach(Runnable::run);
		}).exceptionally((failure) -> retrySoon());
	}

	private CompletableFuture<Void> grant(long sentAt) {
		return this.store.grantLease(this.timeToLive).thenAccept((granted) -> {
			synchronized (this) {
				boolean expired = this.clock.nanoseconds() - (sentAt + this.timeToLive.toNanos()) >= 0;
				if (this.identifier != 0 || this.closed || expired) {
					return;
				}
				this.identifier = granted;
				this.validUntil = sentAt + this.timeToLive.toNanos();
			}
			this.log.accept(Event.named("lease.gained").with("lease", granted));
			this.listeners.forEach(Runnable::run);
		}).exceptionally((failure) -> retrySoon());
	}

	private CompletableFuture<Void> renew(long current, long sentAt) {
		return this.store.keepAlive(current).thenAccept((remaining) -> {
			synchronized (this) {
				if (this.identifier != current) {
					return;
				}
				boolean stillHeld = this.clock.nanoseconds() - this.validUntil < 0;
				if (stillHeld && remaining.isPositive()) {
					long until = sentAt + Math.min(remaining.toNanos(), this.timeToLive.toNanos());
					this.validUntil = (until - this.validUntil > 0) ? until : this.validUntil;
					return;
				}
				this.identifier = 0;
				this.nextSendAt = this.clock.nanoseconds();
			}
			this.log.accept(Event.named("lease.lost").with("lease", current));
			this.listeners.forEach(Runnable::run);
		}).exceptionally((failure) -> retrySoon());
	}

	private synchronized @Nullable Void retrySoon() {
		this.nextSendAt = Math.min(this.nextSendAt, this.clock.nanoseconds() + TimeUnit.MILLISECONDS.toNanos(500));
		return null;
	}

	/**
	 * Revokes the lease, which deletes all keys bound to it. No lease is requested
	 * afterwards.
	 * @return completed when the service has answered or failed
	 */
	public CompletableFuture<Void> release() {
		long current;
		synchronized (this) {
			current = (this.identifier != 0) ? this.identifier : this.lapsedIdentifier;
			this.identifier = 0;
			this.lapsedIdentifier = 0;
			this.closed = true;
		}
		this.listeners.forEach(Runnable::run);
		return (current != 0) ? this.store.revokeLease(current).exceptionally((failure) -> null)
				: CompletableFuture.completedFuture(null);
	}

}
