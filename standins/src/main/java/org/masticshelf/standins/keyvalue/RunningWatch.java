package org.masticshelf.standins.keyvalue;

import java.util.function.Consumer;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * A watch of one client.
 * <p>
 * Invariant: the listener hears nothing after the end and of the end at most once. Safe
 * for use by several threads; the listener is called without any lock held.
 */
final class RunningWatch implements KeyValueStore.Watch {

	private final InMemoryKeyValue.Client client;

	private final String prefix;

	private final long fromRevision;

	private final KeyValueStore.WatchListener listener;

	private final Consumer<RunningWatch> onClose;

	private boolean ended;

	RunningWatch(InMemoryKeyValue.Client client, String prefix, long fromRevision, KeyValueStore.WatchListener listener,
			Consumer<RunningWatch> onClose) {
		this.client = client;
		this.prefix = prefix;
		this.fromRevision = fromRevision;
		this.listener = listener;
		this.onClose = onClose;
	}

	InMemoryKeyValue.Client client() {
		return this.client;
	}

	String prefix() {
		return this.prefix;
	}

	long fromRevision() {
		return this.fromRevision;
	}

	void changed(KeyValueState.Change change) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
		}
		this.listener.onChange(change.entries(), change.revision());
	}

	void breakWith(String reason) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.listener.onFailure(new KeyValueFailure("WATCH " + this.prefix + ": " + reason, false));
	}

	@Override
	public void close() {
		synchronized (this) {
			this.ended = true;
		}
		this.onClose.accept(this);
	}

}
