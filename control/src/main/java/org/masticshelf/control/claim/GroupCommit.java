package org.masticshelf.control.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Batches independent conditional changes into few transactions: while one transaction is
 * in progress, further changes queue for the next.
 * <p>
 * Invariants: a change takes effect only if its own condition held; the failure of one
 * change's condition does not fail another's; at most one transaction is in progress at a
 * time, and it holds each key once. Safe for use by several threads; the state is guarded
 * by one lock that is not held while the service is called or futures are completed.
 */
public final class GroupCommit {

	/** The maximum number of changes in one transaction. */
	public static final int MAXIMUM_CHANGES = 64;

	private static final int MAXIMUM_TRANSACTION_BYTES = 524_288;

	private final KeyValueStore store;

	private final Object lock = new Object();

	private final Deque<Change> waiting = new ArrayDeque<>();

	private boolean transacting;

	/**
	 * Creates a group commit.
	 * @param store the key-value service
	 */
	public GroupCommit(KeyValueStore store) {
		this.store = store;
	}

	/**
	 * Makes a change if its condition holds.
	 * @param condition the condition, on the key that is changed
	 * @param operation the change
	 * @return whether it was applied; the future fails with a {@link KeyValueFailure} if
	 * the service gave no answer
	 */
	public CompletableFuture<WriteResult> write(KeyValueStore.Condition condition, KeyValueStore.Operation operation) {
		Change change = new Change(condition, operation, new CompletableFuture<>());
		synchronized (this.lock) {
			this.waiting.add(change);
		}
		startNext();
		return change.written();
	}

	private void startNext() {
		List<Change> batch;
		synchronized (this.lock) {
			if (this.transacting || this.waiting.isEmpty()) {
				return;
			}
			this.transacting = true;
			batch = takeBatch();
		}
		transact(batch).whenComplete((ignored, failure) -> {
			synchronized (this.lock) {
				this.transacting = false;
			}
			startNext();
		});
	}

	private List<Change> takeBatch() {
		List<Change> batch = new ArrayList<>();
		List<Change> later = new ArrayList<>();
		Set<String> keys = new HashSet<>();
		int bytes = 0;
		while (!this.waiting.isEmpty() && batch.size() < MAXIMUM_CHANGES && bytes < MAXIMUM_TRANSACTION_BYTES) {
			Change next = this.waiting.removeFirst();
			if (keys.add(next.condition().key())) {
				batch.add(next);
				bytes += next.bytes();
			}
			else {
				later.add(next);
			}
		}
		for (int index = later.size() - 1; index >= 0; index--) {
			this.waiting.addFirst(later.get(index));
		}
		return batch;
	}

	private CompletableFuture<Void> transact(List<Change> batch) {
		List<KeyValueStore.Condition> conditions = batch.stream().map(Change::condition).toList();
		List<KeyValueStore.Operation> operations = batch.stream().map(Change::operation).toList();
		return this.store.transact(new KeyValueStore.Transaction(conditions, operations))
			.handle((outcome, failure) -> (failure != null) ? handleFailure(batch, failure)
					: handleOutcome(batch, outcome))
			.thenCompose((next) -> next);
	}

	private CompletableFuture<Void> handleOutcome(List<Change> batch, KeyValueStore.Outcome outcome) {
		if (outcome.applied()) {
			batch.forEach((change) -> change.written().complete(new WriteResult(true, outcome.revision(), null)));
			return CompletableFuture.completedFuture(null);
		}
		Map<String, KeyValueStore.Entry> current = new HashMap<>();
		outcome.current().forEach((entry) -> current.put(entry.key(), entry));
		List<Change> remaining = new ArrayList<>();
		for (Change change : batch) {
			String key = change.condition().key();
			KeyValueStore.Entry entry = current.getOrDefault(key, KeyValueStore.Entry.absent(key));
			if (holds(change.condition(), entry)) {
				remaining.add(change);
			}
			else {
				change.written().complete(new WriteResult(false, outcome.revision(), entry));
			}
		}
		return (remaining.size() < batch.size()) ? transactAll(remaining) : transactOneByOne(batch);
	}

	private CompletableFuture<Void> handleFailure(List<Change> batch, Throwable failure) {
		boolean certainlyNotApplied = unwrapFailure(failure) instanceof KeyValueFailure known && !known.maybeApplied();
		if (certainlyNotApplied && batch.size() > 1) {
			return transactOneByOne(batch);
		}
		batch.forEach((change) -> change.written().completeExceptionally(unwrapFailure(failure)));
		return CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> transactAll(List<Change> changes) {
		return changes.isEmpty() ? CompletableFuture.completedFuture(null) : transact(changes);
	}

	private CompletableFuture<Void> transactOneByOne(List<Change> batch) {
		CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
		for (Change change : batch) {
			last = last.thenCompose((ignored) -> transact(List.of(change)));
		}
		return last;
	}

	private static boolean holds(KeyValueStore.Condition condition, KeyValueStore.Entry entry) {
		return switch (condition) {
			case KeyValueStore.Condition.ModifiedAt modified -> entry.modifyRevision() == modified.modifyRevision();
			case KeyValueStore.Condition.CreatedAt created -> entry.createRevision() == created.createRevision();
		};
	}

	static Throwable unwrapFailure(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	/**
	 * The result of a change.
	 *
	 * @param applied whether the change took effect
	 * @param revision the revision of the store afterwards
	 * @param current the entry of the key if the change did not take effect, else
	 * {@code null}
	 */
	public record WriteResult(boolean applied, long revision, KeyValueStore.@Nullable Entry current) {
	}

	private record Change(KeyValueStore.Condition condition, KeyValueStore.Operation operation,
			CompletableFuture<WriteResult> written) {

		int bytes() {
			return (this.operation instanceof KeyValueStore.Operation.Put put) ? put.value().length() : 0;
		}

	}

}
