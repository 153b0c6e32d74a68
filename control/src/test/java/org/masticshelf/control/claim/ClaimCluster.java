package org.masticshelf.control.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/** A key-value service and daemons that each have their own claim registry. */
final class ClaimCluster {

	static final QualifiedName ORGANISATION = QualifiedName.of("sofia/stitchers");

	static final QualifiedName ROUTE = QualifiedName.of("sofia/orders");

	final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	final ManualDelayedExecutor executor = new ManualDelayedExecutor(this.clock);

	final InMemoryKeyValue store = new InMemoryKeyValue(this.clock);

	final Set<String> running = new HashSet<>();

	private int daemons;

	Daemon start() {
		String incarnation = "daemon-" + this.daemons++;
		this.running.add(incarnation);
		return new Daemon(incarnation, this.store.client());
	}

	void advance(Duration step) {
		this.executor.advance(step);
	}

	ClaimRequest request(String key, String body, Duration timeout) {
		String fingerprint = ClaimRequest.fingerprintOf("POST", "/orders", body.getBytes(StandardCharsets.UTF_8));
		return new ClaimRequest(ORGANISATION, ROUTE, key, fingerprint, this.clock.nanoseconds() + timeout.toNanos());
	}

	static RecordedOutcome answer(String text) {
		return new RecordedOutcome(200, "text/plain", text.getBytes(StandardCharsets.UTF_8));
	}

	/** A daemon, which loses its connection to the service for good when it crashes. */
	final class Daemon {

		final String incarnation;

		final InMemoryKeyValue.Client client;

		final ClaimRegistry registry;

		Daemon(String incarnation, InMemoryKeyValue.Client client) {
			this.incarnation = incarnation;
			this.client = client;
			this.registry = new ClaimRegistry(client, ClaimCluster.this.clock, ClaimCluster.this.executor, incarnation,
					ClaimCluster.this.running::contains);
		}

		CompletableFuture<ClaimResult> ask(String key) {
			return ask(key, "one order", Duration.ofSeconds(10));
		}

		CompletableFuture<ClaimResult> ask(String key, String body, Duration timeout) {
			return this.registry.claim(request(key, body, timeout));
		}

		void crash() {
			this.client.faults().setDown(true);
			ClaimCluster.this.running.remove(this.incarnation);
		}

	}

}
