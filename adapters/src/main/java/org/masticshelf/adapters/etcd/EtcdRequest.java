package org.masticshelf.adapters.etcd;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * A request to the gateway. Immutable.
 *
 * @param path the path of the call
 * @param body the body in UTF-8
 * @param effect what it means for the store when the answer is missing
 */
record EtcdRequest(String path, byte[] body, Effect effect) {

	/** The least that a value may not have, in bytes of UTF-8. */
	static final int VALUE_LIMIT_BYTES = 1_048_576;

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	static EtcdRequest get(String key) {
		return of("/v3/kv/range", new EtcdMessages.RangeRequest(EtcdMessages.encode(key), null), Effect.READS);
	}

	static EtcdRequest list(String prefix) {
		return of("/v3/kv/range", rangeOf(prefix), Effect.READS);
	}

	static EtcdRequest transact(KeyValueStore.Transaction transaction) {
		Set<String> compared = new LinkedHashSet<>();
		transaction.conditions().forEach((condition) -> compared.add(condition.key()));
		List<EtcdMessages.RequestOperation> reads = compared.stream().map(EtcdRequest::toRead).toList();
		return of("/v3/kv/txn",
				new EtcdMessages.TransactionRequest(
						transaction.conditions().stream().map(EtcdRequest::toCompare).toList(),
						transaction.operations().stream().map(EtcdRequest::toOperation).toList(), reads),
				Effect.WRITES);
	}

	static EtcdRequest grantLease(Duration timeToLive) {
		long seconds = Math.ceilDiv(timeToLive.toMillis(), MILLISECONDS_PER_SECOND);
		return of("/v3/lease/grant", new EtcdMessages.LeaseRequest(0, Math.max(1, seconds)), Effect.WRITES);
	}

	static EtcdRequest keepAlive(long lease) {
		return of("/v3/lease/keepalive", new EtcdMessages.LeaseRequest(lease, 0), Effect.WRITES_IDEMPOTENTLY);
	}

	static EtcdRequest revokeLease(long lease) {
		return of("/v3/lease/revoke", new EtcdMessages.LeaseRequest(lease, 0), Effect.WRITES_IDEMPOTENTLY);
	}

	static EtcdRequest watch(String prefix, long fromRevision) {
		EtcdMessages.RangeRequest range = rangeOf(prefix);
		EtcdMessages.WatchCreation creation = new EtcdMessages.WatchCreation(range.key(), EtcdMessages.rangeEnd(prefix),
				fromRevision);
		return of("/v3/watch", new EtcdMessages.WatchRequest(creation), Effect.READS);
	}

	private static EtcdRequest of(String path, Object message, Effect effect) {
		try {
			return new EtcdRequest(path, EtcdMessages.MAPPER.writeValueAsBytes(message), effect);
		}
		catch (IOException ex) {
			throw new IllegalStateException("no JSON form of " + message.getClass(), ex);
		}
	}

	private static EtcdMessages.RangeRequest rangeOf(String prefix) {
		if (prefix.isEmpty()) {
			throw new IllegalArgumentException("the prefix is empty");
		}
		return new EtcdMessages.RangeRequest(EtcdMessages.encode(prefix), EtcdMessages.rangeEnd(prefix));
	}

	private static EtcdMessages.Compare toCompare(KeyValueStore.Condition condition) {
		String key = EtcdMessages.encode(condition.key());
		return switch (condition) {
			case KeyValueStore.Condition.ModifiedAt modified ->
				new EtcdMessages.Compare(key, "MOD", "EQUAL", Long.toString(modified.modifyRevision()), null);
			case KeyValueStore.Condition.CreatedAt created ->
				new EtcdMessages.Compare(key, "CREATE", "EQUAL", null, Long.toString(created.createRevision()));
		};
	}

	private static EtcdMessages.RequestOperation toOperation(KeyValueStore.Operation operation) {
		return switch (operation) {
			case KeyValueStore.Operation.Put put -> {
				requireSize(put);
				yield new EtcdMessages.RequestOperation(new EtcdMessages.PutRequest(EtcdMessages.encode(put.key()),
						EtcdMessages.encode(put.value()), put.lease()), null, null);
			}
			case KeyValueStore.Operation.Delete delete -> new EtcdMessages.RequestOperation(null,
					new EtcdMessages.RangeRequest(EtcdMessages.encode(delete.key()), null), null);
		};
	}

	private static EtcdMessages.RequestOperation toRead(String key) {
		return new EtcdMessages.RequestOperation(null, null,
				new EtcdMessages.RangeRequest(EtcdMessages.encode(key), null));
	}

	private static void requireSize(KeyValueStore.Operation.Put put) {
		int size = put.value().getBytes(StandardCharsets.UTF_8).length;
		if (size >= VALUE_LIMIT_BYTES) {
			throw new KeyValueFailure(
					"value of " + put.key() + " has " + size + " bytes, the limit is " + VALUE_LIMIT_BYTES + " bytes",
					false);
		}
	}

	/** What a request does to the store. */
	enum Effect {

		/** Changes nothing. */
		READS,

		/** Changes something; twice is no worse than once. */
		WRITES_IDEMPOTENTLY,

		/** Changes something. */
		WRITES;

		/**
		 * Returns whether the request may be sent again elsewhere after a failure.
		 * @param provesNotRun whether the failure proves that it did not run
		 * @return whether to send it again
		 */
		boolean permitsRepeat(boolean provesNotRun) {
			return this != WRITES || provesNotRun;
		}

	}

}
