package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.control.configuration.ConfigurationWriter.Result;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;

class ConfigurationWriterTests {

	private final InMemoryKeyValue store = new InMemoryKeyValue(new MonotonicClock.Manual());

	private final ConfigurationWriter writer = writer(this.store.client(), "first");

	private static ConfigurationWriter writer(InMemoryKeyValue.Client client, String author) {
		return ConfigurationWriter.of(client, author).withRetryExecutor(Runnable::run);
	}

	private Tables stored() {
		return this.writer.read().join().pages().toTables();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 140, 6000 })
	void storesAcceptedTables(int models) {
		Result result = this.writer.apply(SampleTables.withModels(models), 0, "first tables").join();
		Truth.assertThat(result).isEqualTo(new Result.Accepted(1));
		Truth.assertThat(stored()).isEqualTo(SampleTables.withModels(models));
	}

	@Test
	void refusesInvalidTables() {
		QualifiedName nobody = new QualifiedName("sofia", "nobody");
		OrganisationKey key = new OrganisationKey("b".repeat(64), nobody, 0, false);
		Tables invalid = new Tables(List.of(), List.of(), List.of(), List.of(key));
		Truth.assertThat(this.writer.apply(invalid, 0, "").join()).isInstanceOf(Result.Invalid.class);
		Truth.assertThat(this.store.count(KeyValueCall.TRANSACT)).isEqualTo(0);
	}

	@Test
	void acceptsOneOfTwoConcurrentChanges() {
		InMemoryKeyValue.Client slow = this.store.client();
		slow.faults().holdAnswers();
		CompletableFuture<Result> second = writer(slow, "second").apply(SampleTables.withModels(2), 0, "mine");
		Result first = this.writer.apply(SampleTables.withModels(1), 0, "theirs").join();
		slow.faults().release();
		Truth.assertThat(first).isEqualTo(new Result.Accepted(1));
		Truth.assertThat(second.join()).isEqualTo(new Result.Conflict(1, "first", "theirs"));
		Truth.assertThat(stored()).isEqualTo(SampleTables.withModels(1));
	}

	@Test
	void refusesChangeOfOlderRevision() {
		this.writer.apply(SampleTables.withModels(1), 0, "").join();
		this.writer.apply(SampleTables.withModels(2), 1, "").join();
		Truth.assertThat(this.writer.apply(SampleTables.withModels(3), 1, "").join())
			.isInstanceOf(Result.Conflict.class);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void recognisesOwnChangeWhoseAnswerWasLost(int lost) {
		this.store.faults().loseNextAnswers(KeyValueCall.TRANSACT, lost);
		Truth.assertThat(this.writer.apply(SampleTables.withModels(1), 0, "").join()).isEqualTo(new Result.Accepted(1));
		Truth.assertThat(this.writer.history().join()).hasSize(1);
	}

	@Test
	void recognisesOwnChangeUnderNewerOnes() {
		InMemoryKeyValue.Client slow = this.store.client();
		slow.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
		List<Runnable> paused = new ArrayList<>();
		CompletableFuture<Result> result = ConfigurationWriter.of(slow, "second")
			.withRetryExecutor(paused::add)
			.apply(SampleTables.withModels(1), 0, "");
		this.writer.apply(SampleTables.withModels(2), 1, "").join();
		paused.forEach(Runnable::run);
		Truth.assertThat(result.join()).isEqualTo(new Result.Accepted(1));
	}

	@Test
	void reportsThatChangeCertainlyHadNoEffect() {
		this.store.faults().setDown(true);
		Truth.assertThat(this.writer.apply(SampleTables.withModels(1), 0, "").join())
			.isEqualTo(new Result.Unavailable(false));
	}

	@Test
	void reportsThatChangeMayHaveTakenEffect() {
		InMemoryKeyValue.Client client = this.store.client();
		client.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
		this.store.watch(ConfigurationKeys.HEAD, 0, new OnChange(() -> client.faults().setDown(true)));
		Truth.assertThat(writer(client, "cut off").apply(SampleTables.withModels(1), 0, "").join())
			.isEqualTo(new Result.Unavailable(true));
	}

	@Test
	void appliesChangeOfKeysToNewerTables() {
		this.writer.apply(SampleTables.withModels(1), 0, "").join();
		InMemoryKeyValue.Client slow = this.store.client();
		slow.faults().holdAnswers();
		CompletableFuture<Result> withdrawal = writer(slow, "second").changeKeys(SampleTables::withdrawAll, 0,
				"leaked");
		this.writer.apply(SampleTables.withModels(2), 1, "").join();
		slow.faults().release();
		Truth.assertThat(withdrawal.join()).isEqualTo(new Result.Accepted(3));
		Truth.assertThat(stored().routes()).hasSize(2);
		Truth.assertThat(stored().keys().get(0).withdrawn()).isTrue();
	}

	@Test
	void refusesChangeBelowRevisionInForce() {
		this.writer.apply(SampleTables.withModels(1), 0, "").join();
		Truth.assertThat(this.writer.changeKeys(SampleTables::withdrawAll, 7, "").join())
			.isInstanceOf(Result.Conflict.class);
	}

	@Test
	void keepsLatestHeadsOnly() {
		for (int revision = 0; revision < 40; revision++) {
			this.writer.apply(SampleTables.withModels(revision % 2 + 1), revision, "change " + revision).join();
		}
		List<Head> history = this.writer.history().join();
		Truth.assertThat(history).hasSize(ConfigurationKeys.HISTORY_LENGTH);
		Truth.assertThat(history.get(0).revision()).isEqualTo(40);
	}

	@Test
	void deletesPagesThatNoHeadRefersTo() {
		this.writer.apply(SampleTables.withModels(10), 0, "").join();
		this.writer.apply(SampleTables.withModels(11), 1, "").join();
		int pages = this.writer.read().join().pages().byName().size();
		Truth.assertThat(this.store.list(ConfigurationKeys.PAGE_PREFIX).join().entries()).hasSize(pages);
	}

	private record OnChange(Runnable action) implements KeyValueStore.WatchListener {

		@Override
		public void onChange(List<KeyValueStore.Entry> entries, long revision) {
			this.action.run();
		}

		@Override
		public void onFailure(KeyValueFailure failure) {
			// the watch is no longer needed
		}

	}

}
