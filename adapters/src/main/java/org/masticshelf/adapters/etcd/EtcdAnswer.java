package org.masticshelf.adapters.etcd;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.transport.http.HttpResponse;

/**
 * Reads the gateway's answers. An answer is taken only if it fits the request: the keys
 * asked for, and revisions that exist. Everything else is a {@link KeyValueFailure}.
 * <p>
 * Stateless and safe for use by several threads.
 */
final class EtcdAnswer {

	private static final int STATUS_OK = 200;

	private static final int NOT_FOUND = 5;

	/**
	 * Codes with which the service refuses before a write is proposed: invalid argument,
	 * not found, permission denied, resource exhausted, failed precondition, out of
	 * range, unimplemented, unauthenticated.
	 */
	private static final Set<Integer> REFUSED_BEFORE_WRITE = Set.of(3, NOT_FOUND, 7, 8, 9, 11, 12, 16);

	private EtcdAnswer() {
	}

	static KeyValueStore.Entry toEntry(String key, byte[] body) {
		EtcdMessages.RangeResponse response = read(body, EtcdMessages.RangeResponse.class);
		revision(response.header());
		return only(key, response);
	}

	static KeyValueStore.Snapshot toSnapshot(String prefix, byte[] body) {
		EtcdMessages.RangeResponse response = read(body, EtcdMessages.RangeResponse.class);
		List<KeyValueStore.Entry> entries = new ArrayList<>();
		String previous = "";
		for (EtcdMessages.KeyValue each : listOrEmpty(response.kvs())) {
			KeyValueStore.Entry entry = toEntry(each);
			require(entry.key().startsWith(prefix) && entry.key().compareTo(previous) > 0,
					"key " + entry.key() + " is out of place");
			previous = entry.key();
			entries.add(entry);
		}
		return new KeyValueStore.Snapshot(List.copyOf(entries), revision(response.header()));
	}

	static KeyValueStore.Outcome toOutcome(KeyValueStore.Transaction transaction, byte[] body) {
		EtcdMessages.TransactionResponse response = read(body, EtcdMessages.TransactionResponse.class);
		long revision = revision(response.header());
		if (response.succeeded()) {
			return new KeyValueStore.Outcome(true, revision, List.of());
		}
		Set<String> compared = new LinkedHashSet<>();
		transaction.conditions().forEach((condition) -> compared.add(condition.key()));
		List<EtcdMessages.ResponseOperation> responses = listOrEmpty(response.responses());
		require(!compared.isEmpty(), "refused without a condition");
		require(responses.size() == compared.size(), responses.size() + " reads, expected " + compared.size());
		List<KeyValueStore.Entry> current = new ArrayList<>();
		for (String key : compared) {
			EtcdMessages.ResponseOperation each = responses.get(current.size());
			EtcdMessages.RangeResponse range = present(present(each, "no read").responseRange(), "no read of " + key);
			current.add(only(key, range));
		}
		return new KeyValueStore.Outcome(false, revision, List.copyOf(current));
	}

	static long toLease(byte[] body) {
		long lease = read(body, EtcdMessages.LeaseResponse.class).identifier();
		require(lease != 0, "no identifier of the lease");
		return lease;
	}

	static Duration toRemaining(long lease, byte[] body) {
		EtcdMessages.LeaseResponse response = present(read(body, EtcdMessages.StreamedLease.class).result(),
				"no result");
		require(response.identifier() == lease, "not the lease " + lease);
		return Duration.ofSeconds(Math.max(0, response.timeToLiveSeconds()));
	}

	/**
	 * Reads one message of a watch.
	 * @param prefix the prefix of the watched keys
	 * @param line the message
	 * @return the batch, without entries if the message reports none
	 */
	static WatchBatch toBatch(String prefix, byte[] line) {
		EtcdMessages.StreamedWatch streamed = read(line, EtcdMessages.StreamedWatch.class);
		EtcdMessages.WatchResponse response = streamed.result();
		if (response == null || response.canceled() || streamed.error() != null) {
			throw new KeyValueFailure("the service ended the watch: " + reason(streamed), false);
		}
		List<KeyValueStore.Entry> entries = new ArrayList<>();
		long revision = 0;
		for (EtcdMessages.WatchEvent event : listOrEmpty(response.events())) {
			KeyValueStore.Entry entry = toEntry(present(event, "an event is null"));
			require(entry.key().startsWith(prefix), "key " + entry.key() + " is not watched");
			entries.add(entry);
			revision = Math.max(revision, entry.modifyRevision());
		}
		return new WatchBatch(List.copyOf(entries), revision);
	}

	/**
	 * Checks the status of an answer.
	 * @param request the request
	 * @param answer the answer
	 * @return the body of a good answer
	 */
	static byte[] body(EtcdRequest request, HttpResponse answer) {
		if (answer.status() == STATUS_OK) {
			return answer.body();
		}
		EtcdMessages.Refusal refusal = refusal(answer);
		boolean refused = REFUSED_BEFORE_WRITE.contains(refusal.code());
		boolean maybeApplied = request.effect() != EtcdRequest.Effect.READS && !refused;
		throw new KeyValueFailure(request.path() + " answered status " + answer.status() + ": " + refusal.message(),
				maybeApplied);
	}

	/**
	 * Returns whether an answer says that a lease does not exist.
	 * @param answer the answer
	 * @return whether the lease does not exist
	 */
	static boolean isNotFound(HttpResponse answer) {
		return answer.status() != STATUS_OK && refusal(answer).code() == NOT_FOUND;
	}

	/**
	 * Turns the failure of an exchange into the port's failure.
	 * @param request the request
	 * @param failure the failure
	 * @return the failure of the call
	 */
	static KeyValueFailure toFailure(EtcdRequest request, Throwable failure) {
		if (failure instanceof KeyValueFailure known) {
			return known;
		}
		boolean provesNotRun = failure instanceof ExchangeFailure exchange && exchange.point().provesNotRun();
		boolean maybeApplied = request.effect() != EtcdRequest.Effect.READS && !provesNotRun;
		return new KeyValueFailure(request.path() + ": " + failure.getMessage(), maybeApplied);
	}

	private static EtcdMessages.Refusal refusal(HttpResponse answer) {
		try {
			EtcdMessages.Refusal refusal = EtcdMessages.MAPPER.readValue(answer.body(), EtcdMessages.Refusal.class);
			return (refusal != null) ? refusal : new EtcdMessages.Refusal(0, null);
		}
		catch (IOException ex) {
			return new EtcdMessages.Refusal(0, "no JSON");
		}
	}

	private static <T> T read(byte[] body, Class<T> type) {
		try {
			return present(EtcdMessages.MAPPER.readValue(body, type), "null");
		}
		catch (IOException ex) {
			throw malformed(String.valueOf(ex.getMessage()));
		}
	}

	private static KeyValueStore.Entry only(String key, EtcdMessages.RangeResponse response) {
		List<EtcdMessages.KeyValue> found = listOrEmpty(response.kvs());
		if (found.isEmpty()) {
			return KeyValueStore.Entry.absent(key);
		}
		KeyValueStore.Entry entry = toEntry(found.getFirst());
		require(found.size() == 1 && entry.key().equals(key), "not the key " + key);
		return entry;
	}

	private static KeyValueStore.Entry toEntry(EtcdMessages.@Nullable KeyValue received) {
		EtcdMessages.KeyValue found = present(received, "an entry is null");
		require(found.createRevision() > 0 && found.modRevision() >= found.createRevision(), "impossible revisions");
		return new KeyValueStore.Entry(decode(found.key()), decode(found.value()), found.createRevision(),
				found.modRevision(), found.lease());
	}

	private static KeyValueStore.Entry toEntry(EtcdMessages.WatchEvent event) {
		EtcdMessages.KeyValue found = present(event.kv(), "an event without a key");
		if ("DELETE".equals(event.type())) {
			return new KeyValueStore.Entry(decode(found.key()), null, 0, found.modRevision(), 0);
		}
		return toEntry(found);
	}

	private static String decode(@Nullable String encoded) {
		try {
			return EtcdMessages.decode(encoded);
		}
		catch (IllegalArgumentException ex) {
			throw malformed("no base64: " + ex.getMessage());
		}
	}

	private static long revision(EtcdMessages.@Nullable Header header) {
		long revision = present(header, "no header").revision();
		require(revision > 0, "no revision");
		return revision;
	}

	private static String reason(EtcdMessages.StreamedWatch streamed) {
		EtcdMessages.WatchResponse response = streamed.result();
		if (response != null) {
			return response.cancelReason() + ", compacted revision " + response.compactRevision();
		}
		EtcdMessages.Refusal error = streamed.error();
		return (error != null) ? String.valueOf(error.message()) : "no result";
	}

	private static <T> List<T> listOrEmpty(@Nullable List<T> list) {
		return (list != null) ? list : List.of();
	}

	private static void require(boolean condition, String complaint) {
		if (!condition) {
			throw malformed(complaint);
		}
	}

	private static <T> T present(@Nullable T value, String complaint) {
		if (value == null) {
			throw malformed(complaint);
		}
		return value;
	}

	private static KeyValueFailure malformed(String complaint) {
		return new KeyValueFailure("malformed answer: " + complaint, true);
	}

	/**
	 * What one message of a watch reports.
	 *
	 * @param entries the changed entries
	 * @param revision the highest revision among them, 0 if there are none
	 */
	record WatchBatch(List<KeyValueStore.Entry> entries, long revision) {
	}

}
