package org.masticshelf.serving.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

	private final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

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
			quarantine.recordCrash(endpoint(number, number), List.of("system", "deadly"));
		});
		advance(Duration.ofSeconds(1));
	}

	private static ServedEndpoint endpoint(int run, int address) {
		return new ServedEndpoint("e" + run, 1, "pool", "10.0.0." + address, 80, "domain", 8, false,
				ServedEndpoint.Holdings.NONE);
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

	/**
	 * Guards against retries of a deadly request that begin anew with each kill of all
	 * daemons, because crashes that do not implicate it yet are forgotten (BUDGET).
	 * @param addresses at how many addresses its endpoints crash in turn
	 * @param killedAfter the numbers of the crashes after which all daemons are killed
	 */
	@ParameterizedTest
	@CsvSource({ "3, 1", "3, 2", "3, 3", "3, 1 2", "3, 1 2 3", "1, 1", "1, 3", "1, 2 3", "1, 1 2 3 4" })
	void crashesCountOnWhenAllDaemonsAreKilled(int addresses, String killedAfter) {
		List<String> request = List.of("system", ":deadly");
		RequestQuarantine running = quarantine();
		QuarantineRecord record = record(running);
		runRounds(record, true);
		int needed = (addresses == 1) ? 4 : 3;
		for (int crash = 1; crash <= needed; crash++) {
			running.recordAnswer(List.of("system", ":sound"), this.clock.milliseconds());
			Truth.assertThat(running.examine(request)).isNotInstanceOf(Finding.Quarantined.class);
			running.recordCrash(endpoint(crash, crash % addresses), request);
			record.round(true);
			advance(Duration.ofSeconds(6));
			if (List.of(killedAfter.split(" ")).contains(String.valueOf(crash))) {
				running = quarantine();
				record = record(running);
				runRounds(record, true);
			}
		}
		Truth.assertThat(running.examine(request)).isInstanceOf(Finding.Quarantined.class);
		Truth.assertThat(running.examine(List.of("system", ":sound"))).isInstanceOf(Finding.Clear.class);
	}

	@Test
	void answerBeforeTheKillStillClearsAfterIt() {
		RequestQuarantine before = quarantine();
		QuarantineRecord recordBefore = record(before);
		runRounds(recordBefore, true);
		for (int crash = 1; crash <= 2; crash++) {
			before.recordCrash(endpoint(crash, crash), List.of("shared", ":sound-" + crash));
			runRounds(recordBefore, true);
		}
		before.recordAnswer(List.of("shared"), this.clock.milliseconds());
		runRounds(recordBefore, true);
		RequestQuarantine after = quarantine();
		runRounds(record(after), true);
		after.recordCrash(endpoint(3, 3), List.of("shared", ":sound-3"));
		advance(Duration.ofSeconds(1));
		Truth.assertThat(after.examine(List.of("shared"))).isInstanceOf(Finding.Clear.class);
	}

	@Test
	void crashWhileTheServiceIsAwayIsRecordedOnceItIsBack() {
		RequestQuarantine before = quarantine();
		QuarantineRecord recordBefore = record(before);
		runRounds(recordBefore, true);
		this.store.faults().setDown(true);
		before.recordCrash(endpoint(1, 1), List.of(":deadly"));
		runRounds(recordBefore, true);
		this.store.faults().setDown(false);
		runRounds(recordBefore, true);
		RequestQuarantine after = quarantine();
		runRounds(record(after), false);
		Truth.assertThat(after.unexplainedEvidence().crashes()).hasSize(1);
	}

	@Test
	void daemonThatBeginsToWriteKeepsWhatOthersRecorded() {
		RequestQuarantine cutOff = quarantine();
		QuarantineRecord recordOfCutOff = record(cutOff);
		runRounds(recordOfCutOff, false);
		RequestQuarantine holder = quarantine();
		QuarantineRecord recordOfHolder = record(holder);
		holder.recordCrash(endpoint(1, 1), List.of(":deadly"));
		runRounds(recordOfHolder, true);
		cutOff.recordCrash(endpoint(2, 2), List.of(":deadly"));
		runRounds(recordOfCutOff, true);
		RequestQuarantine after = quarantine();
		runRounds(record(after), false);
		Truth.assertThat(after.unexplainedEvidence().crashes()).hasSize(2);
	}

	/**
	 * Many requests crash endpoints: what is written stays bounded.
	 * @param crashesPerSecond how many runs of endpoints end
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 10, 50 })
	void writesAreBoundedInNumberAndBytes(int crashesPerSecond) {
		RequestQuarantine quarantine = quarantine();
		QuarantineRecord record = record(quarantine);
		runRounds(record, true);
		int seconds = 30;
		for (int crash = 0; crash < seconds * crashesPerSecond; crash++) {
			List<String> fingerprints = new ArrayList<>();
			for (int request = 0; request < 40; request++) {
				fingerprints.add("segment-of-some-length-" + crash + "-" + request);
				fingerprints.add(":a-request-of-its-own-" + crash + "-" + request);
			}
			quarantine.recordCrash(endpoint(crash, crash), fingerprints);
			advance(Duration.ofMillis(1_000 / crashesPerSecond));
			record.round(true);
		}
		List<Integer> written = this.events.stream()
			.filter((event) -> event.name().equals("quarantine.recorded"))
			.map((event) -> Integer.parseInt(String.valueOf(event.field("bytes"))))
			.toList();
		Truth.assertThat(written.size()).isAtMost(seconds + 1);
		int all = written.stream().mapToInt(Integer::intValue).sum();
		Truth.assertThat((long) all - written.getLast()).isAtMost(seconds * QuarantineRecord.BYTES_PER_SECOND);
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
