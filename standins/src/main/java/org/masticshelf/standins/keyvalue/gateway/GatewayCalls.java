package org.masticshelf.standins.keyvalue.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Turns the gateway's request bodies into calls to the store and the answers back.
 * <p>
 * Supports single keys and prefixes, comparisons of revisions for equality, and reads of
 * the compared keys when a transaction was not applied. Safe for use by several threads.
 */
final class GatewayCalls {

	/** The most conditions, and the most operations, of one transaction. */
	private static final int TRANSACTION_LIMIT_OPERATIONS = 128;

	private static final String EQUAL = "EQUAL";

	private final InMemoryKeyValue store;

	GatewayCalls(InMemoryKeyValue store) {
		this.store = store;
	}

	CompletableFuture<?> answer(String path, byte[] body) throws IOException {
		return switch (path) {
			case "/v3/kv/range" -> range(read(body, GatewayMessages.RangeRequest.class));
			case "/v3/kv/put" -> put(read(body, GatewayMessages.PutRequest.class));
			case "/v3/kv/deleterange" -> delete(read(body, GatewayMessages.RangeRequest.class));
			case "/v3/kv/txn" -> transact(read(body, GatewayMessages.TransactionRequest.class));
			case "/v3/lease/grant" -> grant(read(body, GatewayMessages.LeaseRequest.class));
			case "/v3/lease/keepalive" -> keepAlive(read(body, GatewayMessages.LeaseRequest.class));
			case "/v3/lease/revoke" -> revoke(read(body, GatewayMessages.LeaseRequest.class));
			default -> throw new IOException("no such path: " + path);
		};
	}

	static String prefixOf(String key, @Nullable String rangeEnd) {
		if (rangeEnd == null || !rangeEnd.equals(GatewayMessages.rangeEndOf(key))) {
			throw unsupported("a range that is no prefix");
		}
		return GatewayMessages.decode(key);
	}

	private static <T> T read(byte[] body, Class<T> type) throws IOException {
		return GatewayMessages.MAPPER.readValue(body, type);
	}

	private CompletableFuture<GatewayMessages.RangeResponse> range(GatewayMessages.RangeRequest request) {
		if (request.rangeEnd() == null) {
			String key = GatewayMessages.decode(request.key());
			return this.store.get(key)
				.thenApply((entry) -> GatewayMessages.RangeResponse.of(List.of(entry), this.store.revision()));
		}
		return this.store.list(prefixOf(request.key(), request.rangeEnd()))
			.thenApply((listed) -> GatewayMessages.RangeResponse.of(listed.entries(), listed.revision()));
	}

	private CompletableFuture<GatewayMessages.WriteResponse> put(GatewayMessages.PutRequest request) {
		KeyValueStore.Transaction transaction = new KeyValueStore.Transaction(List.of(), List.of(toOperation(request)));
		return this.store.transact(transaction)
			.thenApply(
					(outcome) -> new GatewayMessages.WriteResponse(new GatewayMessages.Header(outcome.revision()), 0));
	}

	private CompletableFuture<GatewayMessages.WriteResponse> delete(GatewayMessages.RangeRequest request) {
		CompletableFuture<List<KeyValueStore.Entry>> found = (request.rangeEnd() != null)
				? this.store.list(prefixOf(request.key(), request.rangeEnd()))
					.thenApply(KeyValueStore.Snapshot::entries)
				: this.store.get(GatewayMessages.decode(request.key())).thenApply(List::of);
		return found.thenCompose(this::deleteAll);
	}

	private CompletableFuture<GatewayMessages.WriteResponse> deleteAll(List<KeyValueStore.Entry> entries) {
		List<KeyValueStore.Operation> operations = new ArrayList<>();
		entries.forEach((entry) -> operations.add(new KeyValueStore.Operation.Delete(entry.key())));
		long deleted = entries.stream().filter((entry) -> entry.value() != null).count();
		return this.store.transact(new KeyValueStore.Transaction(List.of(), operations))
			.thenApply((outcome) -> new GatewayMessages.WriteResponse(new GatewayMessages.Header(outcome.revision()),
					deleted));
	}

	private CompletableFuture<GatewayMessages.TransactionResponse> transact(
			GatewayMessages.TransactionRequest request) {
		List<KeyValueStore.Condition> conditions = listOrEmpty(request.compare()).stream()
			.map(GatewayCalls::toCondition)
			.toList();
		List<KeyValueStore.Operation> operations = listOrEmpty(request.success()).stream()
			.map(GatewayCalls::toOperation)
			.toList();
		if (Math.max(conditions.size(), operations.size()) > TRANSACTION_LIMIT_OPERATIONS) {
			throw new KeyValueFailure(
					"too many operations in one transaction, the limit is " + TRANSACTION_LIMIT_OPERATIONS, false);
		}
		return this.store.transact(new KeyValueStore.Transaction(conditions, operations))
			.thenApply((outcome) -> toResponse(outcome, listOrEmpty(request.failure())));
	}

	private static GatewayMessages.TransactionResponse toResponse(KeyValueStore.Outcome outcome,
			List<GatewayMessages.RequestOperation> reads) {
		GatewayMessages.Header header = new GatewayMessages.Header(outcome.revision());
		List<GatewayMessages.ResponseOperation> responses = new ArrayList<>();
		if (!outcome.applied()) {
			for (GatewayMessages.RequestOperation read : reads) {
				responses.add(toResponse(outcome, read));
			}
		}
		return new GatewayMessages.TransactionResponse(header, outcome.applied(), responses);
	}

	private static GatewayMessages.ResponseOperation toResponse(KeyValueStore.Outcome outcome,
			GatewayMessages.RequestOperation read) {
		if (read.requestRange() == null) {
			throw unsupported("a write in the failure branch");
		}
		String key = GatewayMessages.decode(read.requestRange().key());
		List<KeyValueStore.Entry> entries = outcome.current()
			.stream()
			.filter((entry) -> entry.key().equals(key))
			.toList();
		return new GatewayMessages.ResponseOperation(GatewayMessages.RangeResponse.of(entries, outcome.revision()));
	}

	private static KeyValueStore.Condition toCondition(GatewayMessages.Compare compare) {
		if (compare.result() != null && !compare.result().equals(EQUAL)) {
			throw unsupported("the comparison " + compare.result());
		}
		String key = GatewayMessages.decode(compare.key());
		return switch (compare.target()) {
			case "MOD" -> new KeyValueStore.Condition.ModifiedAt(key, compare.modRevision());
			case "CREATE" -> new KeyValueStore.Condition.CreatedAt(key, compare.createRevision());
			default -> throw unsupported("the target " + compare.target());
		};
	}

	private static KeyValueStore.Operation toOperation(GatewayMessages.RequestOperation operation) {
		if (operation.requestPut() != null) {
			return toOperation(operation.requestPut());
		}
		if (operation.requestDeleteRange() != null && operation.requestDeleteRange().rangeEnd() == null) {
			return new KeyValueStore.Operation.Delete(GatewayMessages.decode(operation.requestDeleteRange().key()));
		}
		throw unsupported("an operation other than the write or deletion of one key");
	}

	private static KeyValueStore.Operation toOperation(GatewayMessages.PutRequest request) {
		return new KeyValueStore.Operation.Put(GatewayMessages.decode(request.key()),
				GatewayMessages.decode(request.value()), request.lease());
	}

	private CompletableFuture<GatewayMessages.LeaseResponse> grant(GatewayMessages.LeaseRequest request) {
		return this.store.grantLease(Duration.ofSeconds(request.timeToLiveSeconds()))
			.thenApply((lease) -> new GatewayMessages.LeaseResponse(new GatewayMessages.Header(0), lease,
					request.timeToLiveSeconds()));
	}

	private CompletableFuture<GatewayMessages.Streamed> keepAlive(GatewayMessages.LeaseRequest request) {
		return this.store.keepAlive(request.identifier())
			.thenApply((remaining) -> new GatewayMessages.Streamed(new GatewayMessages.LeaseResponse(
					new GatewayMessages.Header(0), request.identifier(), remaining.toSeconds())));
	}

	private CompletableFuture<GatewayMessages.WriteResponse> revoke(GatewayMessages.LeaseRequest request) {
		return this.store.revokeLease(request.identifier())
			.thenApply((done) -> new GatewayMessages.WriteResponse(new GatewayMessages.Header(0), 0));
	}

	private static <T> List<T> listOrEmpty(@Nullable List<T> list) {
		return (list != null) ? list : List.of();
	}

	private static KeyValueFailure unsupported(String what) {
		return new KeyValueFailure("the stand-in does not support " + what, false);
	}

}
