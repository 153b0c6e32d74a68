package org.masticshelf.daemon;

import java.util.concurrent.TimeUnit;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Decides when a starting daemon may receive requests: once it knows tables and can trust
 * keys, or has waited for that trust without success and can at least serve open routes.
 * <p>
 * Invariant: once ready, it stays ready. Safe for use by several threads.
 */
final class StartupReadiness {

	private static final long TRUST_TIMEOUT_SECONDS = 10;

	private final ConfigurationRepository configuration;

	private final MonotonicClock clock;

	private boolean ready;

	private boolean knowsTables;

	private long tablesKnownNanoseconds;

	StartupReadiness(ConfigurationRepository configuration, MonotonicClock clock) {
		this.configuration = configuration;
		this.clock = clock;
	}

	/**
	 * Returns whether the daemon has become ready.
	 * @return whether it may receive requests
	 */
	synchronized boolean isReady() {
		if (!this.ready && this.configuration.isReady()) {
			this.ready = this.configuration.freshness().permitsKeys() || hasWaitedForTrust();
		}
		return this.ready;
	}

	private boolean hasWaitedForTrust() {
		long now = this.clock.nanoseconds();
		if (!this.knowsTables) {
			this.knowsTables = true;
			this.tablesKnownNanoseconds = now;
		}
		return now - this.tablesKnownNanoseconds >= TimeUnit.SECONDS.toNanos(TRUST_TIMEOUT_SECONDS);
	}

}
