package org.masticshelf.adapters.etcd;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;

/**
 * What every adapter of the key-value port has to keep. A subclass opens its adapter on a
 * stand-in service whose faults the tests switch.
 */
abstract class KeyValueStoreContract {

	static final long BOUND_SECONDS = 20;

	final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	final InMemoryKeyValue service = new InMemoryKeyValue(this.clock);

	KeyValueStore store;

	abstract KeyValueStore open(InMemoryKeyValue onService);

	@BeforeEach
	void openStore() {
		this.store = open(this.service);
	}

	@AfterEach
	void closeStore() {
		this.store.close();
	}

	@Test
	void readsAbsentKey() throws Exception {
		Truth.assertThat(await(this.store.get("a/absent"))).isEqualTo(KeyValueStore.Entry.absent("a/absent"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "plain", "Перла 1 ✓", "{\"json\": [1, 2]}", "line\nline" })
	void readsWhatWasWritten(String value) throws Exception {
		KeyValueStore.Outcome outcome = put("a/key", value);
		Truth.assertThat(await(this.store.get("a/key")))
			.isEqualTo(new KeyValueStore.Entry("a/key", value, outcome.revision(), outcome.revision(), 0));
	}

	@ParameterizedTest
	@CsvSource({ "MODIFIED, key, 2, true", "MODIFIED, key, 1, false", "MODIFIED, key, 0, false",
			"MODIFIED, absent, 0, true", "MODIFIED, absent, 2, false", "CREATED, key, 2, true",
			"CREATED, key, 0, false", "CREATED, absent, 0, true", "CREATED, absent, 3, false" })
	void comparesRevisions(String target, String key, long revision, boolean applied) throws Exception {
		put("a/key", "first");
		KeyValueStore.Condition condition = target.equals("MODIFIED")
				? new KeyValueStore.Condition.ModifiedAt("a/" + key, revision)
				: new KeyValueStore.Condition.CreatedAt("a/" + key, revision);
		KeyValueStore.Outcome outcome = await(this.store.transact(transaction(List.of(condition), "a/other")));
		Truth.assertThat(outcome.applied()).isEqualTo(applied);
		Truth.assertThat(await(this.store.get("a/other")).value()).isEqualTo(applied ? "value" : null);
	}

	@Test
	void refusedTransactionReturnsComparedKeys() throws Exception {
		put("a/key", "first");
		KeyValueStore.Outcome outcome = await(
				this.store.transact(transaction(List.of(new KeyValueStore.Condition.ModifiedAt("a/key", 0),
						new KeyValueStore.Condition.ModifiedAt("a/absent", 0)), "a/other")));
		Truth.assertThat(outcome.current())
			.containsExactly(new KeyValueStore.Entry("a/key", "first", 2, 2, 0), KeyValueStore.Entry.absent("a/absent"))
			.inOrder();
	}

	@Test
	void oneFailedConditionRefusesAll() throws Exception {
		put("a/key", "first");
		await(this.store.transact(transaction(List.of(new KeyValueStore.Condition.ModifiedAt("a/key", 2),
				new KeyValueStore.Condition.ModifiedAt("a/key", 1)), "a/one", "a/two")));
		Truth.assertThat(await(this.store.list("a/")).entries()).hasSize(1);
	}

	@Test
	void listsPrefixInOrder() throws Exception {
		for (String key : List.of("a/b", "a/a", "b/a", "a", "a/a/c")) {
			put(key, "value");
		}
		KeyValueStore.Snapshot snapshot = await(this.store.list("a/"));
		Truth.assertThat(snapshot.entries().stream().map(KeyValueStore.Entry::key).toList())
			.containsExactly("a/a", "a/a/c", "a/b")
			.inOrder();
		Truth.assertThat(snapshot.revision()).isEqualTo(6);
	}

	@Test
	void deletes() throws Exception {
		put("a/key", "value");
		await(this.store
			.transact(new KeyValueStore.Transaction(List.of(), List.of(new KeyValueStore.Operation.Delete("a/key")))));
		Truth.assertThat(await(this.store.get("a/key")).value()).isNull();
	}

	@Test
	void refusesOversizeValue() throws Exception {
		KeyValueFailure failure = failure(this.store.transact(put("a/key", "x".repeat(1_048_576), 0)));
		Truth.assertThat(failure.maybeApplied()).isFalse();
		Truth.assertThat(failure).hasMessageThat().contains("a/key");
	}

	@Test
	void refusesOversizeTransaction() throws Exception {
		requireRefused(2, 900_000);
	}

	@Test
	void refusesUnknownLease() throws Exception {
		KeyValueFailure failure = failure(this.store.transact(put("a/key", "value", 77)));
		Truth.assertThat(failure.maybeApplied()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "0, 4, true", "0, 6, false", "3, 4, true", "3, 6, false" })
	void leaseEndsAfterItsLastRenewal(long renewedAfterSeconds, long thenSeconds, boolean present) throws Exception {
		long lease = await(this.store.grantLease(Duration.ofSeconds(5)));
		await(this.store.transact(put("a/key", "value", lease)));
		this.clock.advance(Duration.ofSeconds(renewedAfterSeconds));
		Truth.assertThat(await(this.store.keepAlive(lease))).isEqualTo(Duration.ofSeconds(5));
		this.clock.advance(Duration.ofSeconds(thenSeconds));
		this.service.expireLeases();
		Truth.assertThat(await(this.store.get("a/key")).value()).isEqualTo(present ? "value" : null);
	}

	@Test
	void renewalOfEndedLeaseLeavesNoTime() throws Exception {
		long lease = await(this.store.grantLease(Duration.ofSeconds(5)));
		this.clock.advance(Duration.ofSeconds(6));
		Truth.assertThat(await(this.store.keepAlive(lease))).isEqualTo(Duration.ZERO);
	}

	@Test
	void revokingDeletesBoundKeys() throws Exception {
		long lease = await(this.store.grantLease(Duration.ofSeconds(5)));
		await(this.store.transact(put("a/key", "value", lease)));
		await(this.store.revokeLease(lease));
		await(this.store.revokeLease(lease));
		Truth.assertThat(await(this.store.get("a/key")).value()).isNull();
	}

	@Test
	void watchReportsFromRevision() throws Exception {
		put("a/first", "1");
		long revision = put("a/second", "2").revision();
		put("b/other", "3");
		RecordingListener listener = new RecordingListener();
		try (KeyValueStore.Watch watch = this.store.watch("a/", revision, listener)) {
			Truth.assertThat(listener.next().key()).isEqualTo("a/second");
			await(this.store.transact(
					new KeyValueStore.Transaction(List.of(), List.of(new KeyValueStore.Operation.Delete("a/first")))));
			Truth.assertThat(listener.next()).isEqualTo(new KeyValueStore.Entry("a/first", null, 0, 5, 0));
		}
	}

	@Test
	void watchOfCompactedRevisionBreaks() throws Exception {
		put("a/key", "value");
		this.service.compact();
		RecordingListener listener = new RecordingListener();
		try (KeyValueStore.Watch watch = this.store.watch("a/", 1, listener)) {
			Truth.assertThat(listener.end()).hasMessageThat().contains("compacted");
		}
	}

	@ParameterizedTest
	@EnumSource
	void watchThatBreaksTellsSo(WatchBreak cause) throws Exception {
		put("a/key", "value");
		RecordingListener listener = new RecordingListener();
		try (KeyValueStore.Watch watch = this.store.watch("a/", 2, listener)) {
			listener.next();
			cause.strike(this.service);
			Truth.assertThat(listener.end()).isNotNull();
		}
	}

	@ParameterizedTest
	@EnumSource
	void failedWriteTellsTheTruth(WriteFault fault) throws Exception {
		fault.strike(this.service);
		KeyValueFailure failure = failure(this.store.transact(put("a/key", "value", 0)));
		this.service.faults().setDown(false);
		boolean applied = this.service.snapshotState().get("a/key").value() != null;
		Truth.assertThat(applied).isEqualTo(fault == WriteFault.ANSWER_LOST);
		Truth.assertThat(failure.maybeApplied() || !applied).isTrue();
	}

	@Test
	void failedReadWasNeverApplied() throws Exception {
		this.service.faults().setDown(true);
		Truth.assertThat(failure(this.store.get("a/key")).maybeApplied()).isFalse();
	}

	@Test
	void restoredServiceShowsOlderState() throws Exception {
		put("a/key", "old");
		var earlier = this.service.snapshotState();
		put("a/key", "new");
		this.service.restore(earlier);
		Truth.assertThat(await(this.store.get("a/key"))).isEqualTo(new KeyValueStore.Entry("a/key", "old", 2, 2, 0));
	}

	KeyValueStore.Outcome put(String key, String value) throws Exception {
		return await(this.store.transact(put(key, value, 0)));
	}

	void requireRefused(int operations, int valueBytes) throws Exception {
		List<KeyValueStore.Operation> puts = IntStream
			.range(0, operations).<KeyValueStore
					.Operation>mapToObj(
							(number) -> new KeyValueStore.Operation.Put("a/" + number, "x".repeat(valueBytes), 0))
			.toList();
		KeyValueFailure failure = failure(this.store.transact(new KeyValueStore.Transaction(List.of(), puts)));
		Truth.assertThat(failure.maybeApplied()).isFalse();
		Truth.assertThat(await(this.store.list("a/")).entries()).isEmpty();
	}

	static KeyValueStore.Transaction put(String key, String value, long lease) {
		return new KeyValueStore.Transaction(List.of(), List.of(new KeyValueStore.Operation.Put(key, value, lease)));
	}

	static KeyValueStore.Transaction transaction(List<KeyValueStore.Condition> conditions, String... keys) {
		return new KeyValueStore.Transaction(conditions,
				Arrays
					.stream(keys).<KeyValueStore
							.Operation>map((key) -> new KeyValueStore.Operation.Put(key, "value", 0))
					.toList());
	}

	static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(BOUND_SECONDS, TimeUnit.SECONDS);
	}

	static KeyValueFailure failure(CompletableFuture<?> future) throws Exception {
		Throwable failure = await(future.handle((value, thrown) -> thrown));
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof KeyValueFailure known) {
			return known;
		}
		throw new AssertionError("expected a KeyValueFailure but saw " + cause);
	}

	/** What ends a running watch. */
	enum WatchBreak {

		BROKEN, DOWN, RESTORED;

		void strike(InMemoryKeyValue service) {
			switch (this) {
				case BROKEN -> service.breakWatches("a test asked for it");
				case DOWN -> service.faults().setDown(true);
				case RESTORED -> service.restore(service.snapshotState());
			}
		}

	}

	/** What goes wrong with a write. */
	enum WriteFault {

		DOWN, ANSWER_LOST;

		void strike(InMemoryKeyValue service) {
			switch (this) {
				case DOWN -> service.faults().setDown(true);
				case ANSWER_LOST -> service.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
			}
		}

	}

}
