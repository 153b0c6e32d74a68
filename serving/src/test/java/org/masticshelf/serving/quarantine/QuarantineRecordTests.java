package org.masticshelf.serving.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.quarantine.RequestQuarantine.Finding;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Tests {@link QuarantineRecord}.
 */
class QuarantineRecordTests {

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final KeyValueStore store = new InMemoryKeyValue(this.clock);

	private final List<Event> events = new ArrayList<>();

	private Instant wallTime = Instant.EPOCH;

	private RequestQuarantine quarantine() {
		return new RequestQuarantine(this.clock, this.events::add, () -> {
		});
	}

	private QuarantineRecord record(RequestQuarantine quarantine) {
		return new QuarantineRecord(this.store, quarantine, this.clock, () -> this.wallTime, this.events::add);
	}

	private void advance(Duration time) {
		this.clock.advance(time);
		this.wallTime = this.wallTime.plus(time);
	}

	private void implicate(RequestQuarantine quarantine) {
		IntStream.rangeClosed(1, 3).forEach((number) -> {
			advance(Duration.ofSeconds(1));
			quarantine.recordCrash(new ServedEndpoint("e" + number, 1, "pool", "10.0.0." + number, 80, "domain", 8,
					false, ServedEndpoint.Holdings.NONE), List.of("system", "deadly"));
		});
		advance(Duration.ofSeconds(1));
	}

	private void runRounds(QuarantineRecord record, boolean writing) {
		for (int round = 0; round < 5; round++) {
			advance(Duration.ofSeconds(1));
			record.round(writing);
		}
	}

	/** Guards against deadly requests being sent again after a loss of power (BUDGET). */
	@Test
	void daemonsThatAllLostPowerStillRefuseDeadlySegment() {
		RequestQuarantine before = quarantine();
		QuarantineRecord recordBefore = record(before);
		recordBefore.round(true);
		implicate(before);
		runRounds(recordBefore, true);
		RequestQuarantine after = quarantine();
		runRounds(record(after), false);
		Truth.assertThat(after.examine(List.of("deadly"))).isInstanceOf(Finding.Quarantined.class);
		Truth.assertThat(after.examine(List.of("system"))).isInstanceOf(Finding.Clear.class);
	}

	@Test
	void recordedCrashesAge() {
		RequestQuarantine before = quarantine();
		QuarantineRecord recordBefore = record(before);
		recordBefore.round(true);
		implicate(before);
		runRounds(recordBefore, true);
		advance(Duration.ofMillis(RequestQuarantine.RETENTION_MILLISECONDS));
		RequestQuarantine after = quarantine();
		runRounds(record(after), false);
		Truth.assertThat(after.hasEvidence()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void onlyOneDaemonWritesAndOnlyNews(boolean writing) {
		RequestQuarantine quarantine = quarantine();
		QuarantineRecord record = record(quarantine);
		record.round(writing);
		implicate(quarantine);
		runRounds(record, writing);
		runRounds(record, writing);
		Truth.assertThat(this.events.stream().filter((event) -> event.name().equals("quarantine.recorded")).count())
			.isEqualTo(writing ? 1 : 0);
	}

	@Test
	void unreadableRecordIsReportedAndReplaced() {
		this.store
			.transact(new KeyValueStore.Transaction(List.of(),
					List.of(new KeyValueStore.Operation.Put(QuarantineRecord.KEY, "rubbish", 0))))
			.join();
		RequestQuarantine quarantine = quarantine();
		QuarantineRecord record = record(quarantine);
		runRounds(record, true);
		implicate(quarantine);
		runRounds(record, true);
		Truth.assertThat(this.events.stream().map(Event::name).toList())
			.containsAtLeast("quarantine.record_failed", "quarantine.recorded");
	}

}
