package org.masticshelf.serving.quarantine;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.transport.json.Json;

/**
 * Keeps what is known of crashes in the key-value service, for the case that all daemons
 * end at once and none is left to tell the others.
 * <p>
 * Designed for deadly requests that go on while all daemons are killed or lose power, at
 * any number of crashes: what implicates nothing yet counts on after the start. Each
 * daemon reads the record after its start, and again before it begins to write. Crashes
 * are written as soon as the bounds allow; answers that clear a fingerprint are written
 * with the next crash or after some seconds. Invariants: at most one call at a time, one
 * a second, and {@value #BYTES_PER_SECOND} bytes a second; the record is one bounded
 * value. Called by one thread; answers may arrive on another. Thread-safe.
 */
public final class QuarantineRecord {

	static final String KEY = "masticshelf/quarantine";

	/** Every daemon watches the key, and reads all that is written. */
	static final long BYTES_PER_SECOND = 16_000;

	private static final long CALL_INTERVAL_MILLISECONDS = 1_000;

	private static final long CLEARANCE_INTERVAL_MILLISECONDS = 5_000;

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	private final KeyValueStore store;

	private final RequestQuarantine quarantine;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final Consumer<Event> log;

	private boolean read;

	private boolean writer;

	private boolean calling;

	private long nextCallAt = Long.MIN_VALUE / 2;

	private long writtenAt = Long.MIN_VALUE / 2;

	private RequestQuarantine.@Nullable Revision recorded = RequestQuarantine.Revision.NONE;

	/**
	 * Creates a record that has not been read yet.
	 * @param store the key-value service
	 * @param quarantine what the record is read into and written from
	 * @param clock the clock for intervals
	 * @param wallClock the clock for the times in the record
	 * @param log receives the events
	 */
	public QuarantineRecord(KeyValueStore store, RequestQuarantine quarantine, MonotonicClock clock,
			InstantSource wallClock, Consumer<Event> log) {
		this.store = store;
		this.quarantine = quarantine;
		this.clock = clock;
		this.wallClock = wallClock;
		this.log = log;
		store.addRestoreListener(this::writeAgain);
	}

	// The record may be an older one.
	private synchronized void writeAgain() {
		this.recorded = null;
	}

	/**
	 * Reads the record if that is due, or writes it if it is out of date.
	 * @param writing whether this daemon is to write
	 */
	public synchronized void round(boolean writing) {
		if (writing && !this.writer) {
			this.read = false;
		}
		this.writer = writing;
		long now = this.clock.milliseconds();
		if (this.calling || now - this.nextCallAt < 0) {
			return;
		}
		if (!this.read) {
			this.nextCallAt = now + CALL_INTERVAL_MILLISECONDS;
			call(this.store.get(KEY).thenAccept(this::adopt));
		}
		else if (writing && isOutOfDate(now)) {
			write(now);
		}
	}

	private boolean isOutOfDate(long now) {
		RequestQuarantine.Revision current = this.quarantine.revision();
		if (current.equals(RequestQuarantine.Revision.NONE)) {
			return false;
		}
		return this.recorded == null || current.crashes() != this.recorded.crashes()
				|| (current.clearances() != this.recorded.clearances()
						&& now - this.writtenAt >= CLEARANCE_INTERVAL_MILLISECONDS);
	}

	private void write(long now) {
		RequestQuarantine.Revision written = this.quarantine.revision();
		PeerMessage.CrashEvidence evidence = this.quarantine.unexplainedEvidence();
		byte[] value = Json.toBytes(new Recorded(this.wallClock.millis(), evidence.crashes(), evidence.answered()));
		this.nextCallAt = now
				+ Math.max(CALL_INTERVAL_MILLISECONDS, value.length * MILLISECONDS_PER_SECOND / BYTES_PER_SECOND);
		this.writtenAt = now;
		KeyValueStore.Transaction write = new KeyValueStore.Transaction(List.of(),
				List.of(new KeyValueStore.Operation.Put(KEY, new String(value, StandardCharsets.UTF_8), 0)));
		call(this.store.transact(write)
			.thenAccept((outcome) -> noteWritten(written, evidence.crashes().size(), value.length)));
	}

	private void call(CompletableFuture<Void> call) {
		this.calling = true;
		call.whenComplete((nothing, failure) -> noteEnd(failure));
	}

	private synchronized void noteEnd(@Nullable Throwable failure) {
		this.calling = false;
		if (failure != null) {
			this.log.accept(Event.named("quarantine.record_failed").with("cause", failure.toString()));
		}
	}

	private synchronized void noteWritten(RequestQuarantine.Revision written, int crashes, int bytes) {
		this.recorded = written;
		this.log.accept(Event.named("quarantine.recorded").with("crashes", crashes).with("bytes", bytes));
	}

	private synchronized void adopt(KeyValueStore.Entry entry) {
		this.read = true;
		String value = entry.value();
		if (value == null) {
			return;
		}
		Recorded found = Json.toValue(value.getBytes(StandardCharsets.UTF_8), Recorded.class);
		long since = Math.max(0, this.wallClock.millis() - found.at());
		List<PeerMessage.Crash> crashes = new ArrayList<>();
		for (PeerMessage.Crash crash : found.crashes()) {
			crashes.add(new PeerMessage.Crash(crash.run(), crash.address(), crash.age() + since, crash.fingerprints()));
		}
		Map<String, Long> answered = new HashMap<>();
		if (found.answered() != null) {
			found.answered().forEach((fingerprint, age) -> answered.put(fingerprint, age + since));
		}
		boolean nothingElseKnown = this.quarantine.revision().equals(RequestQuarantine.Revision.NONE);
		this.quarantine.merge("record", new PeerMessage.CrashEvidence(crashes, answered));
		if (nothingElseKnown) {
			this.recorded = this.quarantine.revision();
		}
	}

	/**
	 * The value of the key.
	 *
	 * @param at when it was written, milliseconds of the wall clock
	 * @param crashes the crashes, with their ages at that time
	 * @param answered how long before that time fingerprints were last answered,
	 * {@code null} in records of older builds
	 */
	private record Recorded(long at, List<PeerMessage.Crash> crashes, @Nullable Map<String, Long> answered) {
	}

}
