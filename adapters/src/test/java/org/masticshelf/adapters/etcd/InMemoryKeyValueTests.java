package org.masticshelf.adapters.etcd;

import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * The contract and the further faults of the store in memory.
 */
class InMemoryKeyValueTests extends KeyValueStoreContract {

	@Override
	KeyValueStore open(InMemoryKeyValue onService) {
		return onService.client();
	}

	@Test
	void cutClientLeavesOthersConnected() throws Exception {
		InMemoryKeyValue.Client cut = this.service.client();
		cut.faults().setDown(true);
		Truth.assertThat(failure(cut.get("a/key")).maybeApplied()).isFalse();
		Truth.assertThat(put("a/key", "value").applied()).isTrue();
	}

	@Test
	void heldRequestTakesEffectAtRelease() throws Exception {
		this.service.faults().holdRequests();
		CompletableFuture<KeyValueStore.Outcome> held = this.store.transact(put("a/key", "value", 0));
		Truth.assertThat(this.service.snapshotState().get("a/key").value()).isNull();
		this.service.faults().release();
		Truth.assertThat(await(held).applied()).isTrue();
	}

	@Test
	void heldAnswerTookEffectBefore() throws Exception {
		this.service.faults().holdAnswers();
		CompletableFuture<KeyValueStore.Outcome> held = this.store.transact(put("a/key", "value", 0));
		Truth.assertThat(this.service.snapshotState().get("a/key").value()).isEqualTo("value");
		Truth.assertThat(held.isDone()).isFalse();
		this.service.faults().release();
		Truth.assertThat(await(held).applied()).isTrue();
	}

	@Test
	void heldCallsFailWhenTheServiceGoesDown() throws Exception {
		this.service.faults().holdAnswers();
		CompletableFuture<KeyValueStore.Outcome> held = this.store.transact(put("a/key", "value", 0));
		this.service.faults().setDown(true);
		Truth.assertThat(failure(held).maybeApplied()).isTrue();
	}

	@Test
	void watchBatchesAreDroppedDoubledAndDelayed() throws Exception {
		RecordingListener listener = new RecordingListener();
		try (KeyValueStore.Watch watch = this.store.watch("a/", 0, listener)) {
			this.service.faults().dropNextWatchBatches(1);
			put("a/dropped", "1");
			this.service.faults().duplicateWatchBatches(true);
			put("a/doubled", "2");
			this.service.faults().duplicateWatchBatches(false);
			this.service.faults().holdWatchBatches();
			put("a/delayed", "3");
			Truth.assertThat(listener.next().key()).isEqualTo("a/doubled");
			Truth.assertThat(listener.next().key()).isEqualTo("a/doubled");
			this.service.faults().releaseWatchBatches();
			Truth.assertThat(listener.next().key()).isEqualTo("a/delayed");
		}
	}

}
