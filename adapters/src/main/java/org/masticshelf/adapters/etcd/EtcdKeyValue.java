package org.masticshelf.adapters.etcd;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;

/**
 * The key-value service over the JSON gateway of etcd.
 * <p>
 * Addresses are tried in turn, beginning with the one that last answered. A write goes to
 * a further address only if the failure proves that it did not run, so one call writes at
 * most once. Invariant: a failure says that a write was not applied only if the exchange
 * proves it. Safe for use by several threads; futures and listeners complete on the
 * client's thread, which must not be blocked.
 */
public final class EtcdKeyValue implements KeyValueStore {

	/** Beyond the timeout of the exchange, which begins only once a connection stands. */
	private static final Duration CONNECT_GRACE = Duration.ofMillis(250);

	private static final Duration WATCH_LIFE = Duration.ofHours(1);

	private final List<String> addresses;

	private final Duration timeout;

	private final HttpClient client;

	private final AtomicInteger preferred = new AtomicInteger();

	/**
	 * Creates an adapter.
	 * @param addresses the IP numbers and ports of the service, at least one
	 * @param timeout how long a call may take over all addresses together
	 * @param client makes the calls, closed with the adapter
	 */
	public EtcdKeyValue(List<String> addresses, Duration timeout, HttpClient client) {
		this.addresses = List.copyOf(addresses);
		this.timeout = timeout;
		this.client = client;
	}

	@Override
	public CompletableFuture<Entry> get(String key) {
		return call(EtcdRequest.get(key), (body) -> EtcdAnswer.toEntry(key, body));
	}

	@Override
	public CompletableFuture<Snapshot> list(String prefix) {
		return call(EtcdRequest.list(prefix), (body) -> EtcdAnswer.toSnapshot(prefix, body));
	}

	@Override
	public CompletableFuture<Outcome> transact(Transaction transaction) {
		try {
			return call(EtcdRequest.transact(transaction), (body) -> EtcdAnswer.toOutcome(transaction, body));
		}
		catch (KeyValueFailure ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	@Override
	public CompletableFuture<Long> grantLease(Duration timeToLive) {
		return call(EtcdRequest.grantLease(timeToLive), EtcdAnswer::toLease);
	}

	@Override
	public CompletableFuture<Duration> keepAlive(long lease) {
		return call(EtcdRequest.keepAlive(lease), (body) -> EtcdAnswer.toRemaining(lease, body));
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		EtcdRequest request = EtcdRequest.revokeLease(lease);
		return exchange(request).thenAccept((answer) -> {
			if (!EtcdAnswer.isNotFound(answer)) {
				EtcdAnswer.body(request, answer);
			}
		});
	}

	@Override
	public Watch watch(String prefix, long fromRevision, WatchListener listener) {
		EtcdRequest request = EtcdRequest.watch(prefix, fromRevision);
		int attempt = this.preferred.get();
		EtcdWatch watch = new EtcdWatch(prefix, listener, () -> avoid(attempt));
		HttpCall call = HttpCall.postJson(address(attempt), request.path(), request.body())
			.withTimeout(WATCH_LIFE)
			.withFreshConnection();
		watch.attach(this.client.stream(call, watch));
		return watch;
	}

	@Override
	public void close() {
		this.client.close();
	}

	private <T> CompletableFuture<T> call(EtcdRequest request, Function<byte[], T> reading) {
		return exchange(request).thenApply((answer) -> read(request, answer, reading));
	}

	private static <T> T read(EtcdRequest request, HttpResponse answer, Function<byte[], T> reading) {
		byte[] body = EtcdAnswer.body(request, answer);
		try {
			return reading.apply(body);
		}
		catch (KeyValueFailure ex) {
			boolean maybeApplied = request.effect() != EtcdRequest.Effect.READS;
			throw new KeyValueFailure(request.path() + ": " + ex.getMessage(), maybeApplied);
		}
	}

	private CompletableFuture<HttpResponse> exchange(EtcdRequest request) {
		return attempt(request, this.preferred.get(), this.addresses.size());
	}

	private CompletableFuture<HttpResponse> attempt(EtcdRequest request, int attempt, int attemptsLeft) {
		Duration share = this.timeout.dividedBy(this.addresses.size());
		HttpCall call = HttpCall.postJson(address(attempt), request.path(), request.body()).withTimeout(share);
		CompletableFuture<HttpResponse> exchange = this.client.exchange(call);
		return exchange.copy()
			.orTimeout(share.plus(CONNECT_GRACE).toMillis(), TimeUnit.MILLISECONDS)
			.exceptionallyCompose((failure) -> {
				exchange.cancel(false);
				avoid(attempt);
				Throwable cause = unwrap(failure);
				boolean provesNotRun = cause instanceof ExchangeFailure known && known.point().provesNotRun();
				if (attemptsLeft > 1 && request.effect().permitsRepeat(provesNotRun)) {
					return attempt(request, attempt + 1, attemptsLeft - 1);
				}
				return CompletableFuture.failedFuture(EtcdAnswer.toFailure(request, cause));
			});
	}

	private static Throwable unwrap(Throwable failure) {
		Throwable cause = failure.getCause();
		Throwable seen = (failure instanceof CompletionException && cause != null) ? cause : failure;
		return (seen instanceof TimeoutException)
				? new ExchangeFailure(ExchangeFailure.Point.IN_REQUEST, "timeout before a connection stood") : seen;
	}

	private String address(int attempt) {
		return this.addresses.get(Math.floorMod(attempt, this.addresses.size()));
	}

	private void avoid(int attempt) {
		this.preferred.compareAndSet(attempt, attempt + 1);
	}

}
