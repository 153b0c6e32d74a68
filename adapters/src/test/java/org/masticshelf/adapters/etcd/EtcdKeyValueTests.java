package org.masticshelf.adapters.etcd;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.standins.faultproxy.FaultProxy;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.standins.keyvalue.gateway.KeyValueGateway;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;

/**
 * The contract over HTTP and what can only go wrong there.
 */
class EtcdKeyValueTests extends KeyValueStoreContract {

	/** Nothing listens on the discard port of the loopback. */
	private static final String REFUSING_ADDRESS = "127.0.0.1:9";

	private final KeyValueGateway gateway;

	private final FaultProxy proxy;

	EtcdKeyValueTests() throws Exception {
		this.gateway = KeyValueGateway.start(this.service, "127.0.0.1", 0);
		this.proxy = FaultProxy.start("127.0.0.1", 0, this.gateway.address());
	}

	@Override
	KeyValueStore open(InMemoryKeyValue onService) {
		return open(this.proxy.address(), 10_000);
	}

	@AfterEach
	void closeGateway() {
		this.proxy.close();
		this.gateway.close();
	}

	@ParameterizedTest
	@CsvSource({ "CUT, false", "LOSE_ANSWERS, true", "CLOSE_IN_ANSWER, true", "CLOSE_IN_REQUEST, false" })
	void writeOverBrokenConnectionIsInDoubt(FaultProxy.Mode mode, boolean applied) throws Exception {
		this.proxy.setMode(mode);
		KeyValueFailure failure = failure(this.store.transact(put("a/key", "value", 0)));
		Truth.assertThat(failure.maybeApplied()).isTrue();
		Truth.assertThat(this.service.snapshotState().get("a/key").value() != null).isEqualTo(applied);
	}

	@Test
	void refusesMoreOperationsThanTheServiceTakes() throws Exception {
		requireRefused(129, 1);
	}

	@Test
	void refusedConnectionProvesThatNothingWasWritten() throws Exception {
		try (KeyValueStore refused = open(REFUSING_ADDRESS, 10_000)) {
			Truth.assertThat(failure(refused.transact(put("a/key", "value", 0))).maybeApplied()).isFalse();
		}
	}

	@Test
	void silentServiceEndsInTimeout() throws Exception {
		this.proxy.setMode(FaultProxy.Mode.HOLD);
		try (KeyValueStore impatient = open(this.proxy.address(), 50)) {
			KeyValueFailure failure = failure(impatient.transact(put("a/key", "value", 0)));
			Truth.assertThat(failure.maybeApplied()).isTrue();
			Truth.assertThat(failure).hasMessageThat().contains("imeout");
		}
	}

	@ParameterizedTest
	@CsvSource({ "GET, false", "LIST, false", "TRANSACT, true", "GRANT_LEASE, true", "KEEP_ALIVE, true" })
	void rubbishIsAFailure(KeyValueCall call, boolean maybeApplied) throws Exception {
		administer("rubbish?count=1");
		CompletableFuture<?> answer = switch (call) {
			case GET -> this.store.get("a/key");
			case LIST -> this.store.list("a/");
			case TRANSACT -> this.store.transact(put("a/key", "value", 0));
			case GRANT_LEASE -> this.store.grantLease(Duration.ofSeconds(5));
			default -> this.store.keepAlive(1_000);
		};
		Truth.assertThat(failure(answer).maybeApplied()).isEqualTo(maybeApplied);
	}

	@Test
	void goesOnToTheNextAddress() throws Exception {
		try (KeyValueStore several = open(REFUSING_ADDRESS + "," + this.gateway.address(), 10_000)) {
			Truth.assertThat(await(several.transact(put("a/key", "value", 0))).applied()).isTrue();
		}
	}

	@Test
	void writesInDoubtAreNotRepeatedElsewhere() throws Exception {
		this.proxy.setMode(FaultProxy.Mode.LOSE_ANSWERS);
		try (KeyValueStore several = open(this.proxy.address() + "," + this.gateway.address(), 10_000)) {
			Truth.assertThat(failure(several.transact(put("a/key", "value", 0))).maybeApplied()).isTrue();
			Truth.assertThat(this.service.count(KeyValueCall.TRANSACT)).isEqualTo(1);
		}
	}

	@Test
	void readsAreRepeatedElsewhere() throws Exception {
		put("a/key", "value");
		this.proxy.setMode(FaultProxy.Mode.LOSE_ANSWERS);
		try (KeyValueStore several = open(this.proxy.address() + "," + this.gateway.address(), 10_000)) {
			Truth.assertThat(await(several.get("a/key")).value()).isEqualTo("value");
		}
	}

	@Test
	void cutConnectionBreaksWatch() throws Exception {
		put("a/key", "value");
		RecordingListener listener = new RecordingListener();
		try (KeyValueStore.Watch watch = this.store.watch("a/", 2, listener)) {
			listener.next();
			this.proxy.setMode(FaultProxy.Mode.CUT);
			Truth.assertThat(listener.end()).isNotNull();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "etcd:///", "etcd://host", "etcd://127.0.0.1:1,", "etcd:///x",
			"etcd://127.0.0.1:1?timeout=5", "etcd://127.0.0.1:1?timeout-milliseconds=x" })
	void malformedLocationIsNamed(String location) {
		String complaint = "none";
		try (KeyValueStore opened = PortProvider.open(KeyValueStore.class, URI.create(location))) {
			Truth.assertThat(opened).isNull();
		}
		catch (IllegalArgumentException ex) {
			complaint = ex.getMessage();
		}
		Truth.assertThat(complaint).contains("is not of the form");
	}

	private void administer(String fault) throws Exception {
		try (HttpClient client = HttpClient.withThreads(1)) {
			HttpResponse answer = await(
					client.exchange(HttpCall.postJson(this.gateway.address(), "/fault/" + fault, new byte[0])));
			Truth.assertThat(answer.status()).isEqualTo(204);
		}
	}

	private static KeyValueStore open(String addresses, long timeoutMilliseconds) {
		return PortProvider.open(KeyValueStore.class,
				URI.create("etcd://" + addresses + "?timeout-milliseconds=" + timeoutMilliseconds));
	}

}
