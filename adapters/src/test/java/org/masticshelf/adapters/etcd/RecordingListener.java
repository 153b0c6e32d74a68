package org.masticshelf.adapters.etcd;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Records what a watch reports and lets a test wait for it. Safe for use by several
 * threads.
 */
final class RecordingListener implements KeyValueStore.WatchListener {

	private static final long BOUND_SECONDS = 20;

	private final BlockingQueue<KeyValueStore.Entry> entries = new LinkedBlockingQueue<>();

	private final CompletableFuture<KeyValueFailure> end = new CompletableFuture<>();

	@Override
	public void onChange(List<KeyValueStore.Entry> changed, long revision) {
		this.entries.addAll(changed);
	}

	@Override
	public void onFailure(KeyValueFailure failure) {
		this.end.complete(failure);
	}

	KeyValueStore.Entry next() throws InterruptedException {
		KeyValueStore.Entry entry = this.entries.poll(BOUND_SECONDS, TimeUnit.SECONDS);
		Truth.assertWithMessage("no event within %s s", BOUND_SECONDS).that(entry).isNotNull();
		return entry;
	}

	KeyValueFailure end() throws Exception {
		return this.end.get(BOUND_SECONDS, TimeUnit.SECONDS);
	}

}
