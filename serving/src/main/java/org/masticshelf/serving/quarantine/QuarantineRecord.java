package org.masticshelf.serving.quarantine;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.transport.json.Json;

/**
 * Keeps the crashes that implicate requests in the key-value service, for the case that
 * all daemons end at once and none is left to tell the others.
 * <p>
 * Designed for a loss of power while deadly requests go on: each daemon reads the record
 * once after its start, and one of them, which holds a duty, writes it when one is newly
 * implicated. Invariants: at most one call at a time and one a second; the record is one
 * bounded value. Called by one thread; answers may arrive on another. Thread-safe.
 */
public final class QuarantineRecord {

	static final String KEY = "masticshelf/quarantine";

	private static final long CALL_INTERVAL_MILLISECONDS = 1_000;

	private final KeyValueStore store;

	private final RequestQuarantine quarantine;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final Consumer<Event> log;

	private boolean read;

	private boolean calling;

	private long calledAt = Long.MIN_VALUE / 2;

	private Set<String> recordedRuns = Set.of();

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
		this.recordedRuns = Set.of();
	}

	/**
	 * Reads the record if that has not succeeded yet, or writes it if it is out of date.
	 * @param writing whether this daemon is the one that writes
	 */
	public synchronized void round(boolean writing) {
		long now = this.clock.milliseconds();
		if (this.calling || now - this.calledAt < CALL_INTERVAL_MILLISECONDS) {
			return;
		}
		if (!this.read) {
			call(now, this.store.get(KEY).thenAccept(this::adopt));
			return;
		}
		PeerMessage.CrashEvidence evidence = this.quarantine.implicatingEvidence();
		Set<String> runs = runsOf(evidence);
		if (writing && !this.recordedRuns.containsAll(runs)) {
			String value = new String(Json.toBytes(new Recorded(this.wallClock.millis(), evidence.crashes())),
					StandardCharsets.UTF_8);
			KeyValueStore.Transaction write = new KeyValueStore.Transaction(List.of(),
					List.of(new KeyValueStore.Operation.Put(KEY, value, 0)));
			call(now, this.store.transact(write).thenAccept((outcome) -> noteWritten(runs)));
		}
	}

	private void call(long now, CompletableFuture<Void> call) {
		this.calling = true;
		this.calledAt = now;
		call.whenComplete((nothing, failure) -> noteEnd(failure));
	}

	private synchronized void noteEnd(@Nullable Throwable failure) {
		this.calling = false;
		if (failure != null) {
			this.log.accept(Event.named("quarantine.record_failed").with("cause", failure.toString()));
		}
	}

	private synchronized void noteWritten(Set<String> runs) {
		this.recordedRuns = runs;
		this.log.accept(Event.named("quarantine.recorded").with("crashes", runs.size()));
	}

	private synchronized void adopt(KeyValueStore.Entry entry) {
		this.read = true;
		String value = entry.value();
		if (value == null) {
			return;
		}
		Recorded recorded = Json.toValue(value.getBytes(StandardCharsets.UTF_8), Recorded.class);
		long since = Math.max(0, this.wallClock.millis() - recorded.at());
		List<PeerMessage.Crash> crashes = new ArrayList<>();
		for (PeerMessage.Crash crash : recorded.crashes()) {
			crashes.add(new PeerMessage.Crash(crash.run(), crash.address(), crash.age() + since, crash.fingerprints()));
		}
		PeerMessage.CrashEvidence evidence = new PeerMessage.CrashEvidence(crashes, Map.of());
		this.recordedRuns = runsOf(evidence);
		this.quarantine.merge("record", evidence);
	}

	private static Set<String> runsOf(PeerMessage.CrashEvidence evidence) {
		Set<String> runs = new HashSet<>();
		evidence.crashes().forEach((crash) -> runs.add(crash.run()));
		return runs;
	}

	/**
	 * The value of the key.
	 *
	 * @param at when it was written, milliseconds of the wall clock
	 * @param crashes the crashes that implicate requests, with their ages at that time
	 */
	private record Recorded(long at, List<PeerMessage.Crash> crashes) {
	}

}
