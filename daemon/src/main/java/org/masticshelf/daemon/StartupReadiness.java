package org.masticshelf.daemon;

import java.util.concurrent.TimeUnit;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * When a starting daemon may get requests: once it knows tables and can trust keys, or
 * has waited in vain for that trust and can at least serve open routes.
 * <p>
 * Invariant: once reached, it stays reached. Safe for use by several threads.
 */
final class StartupReadiness {

	private static final long TRUST_SECONDS = 10;

	private final ConfigurationRepository configuration;

	private final MonotonicClock clock;

	private boolean reached;

	private boolean knowsTables;

	private long tablesKnownNanoseconds;

	StartupReadiness(ConfigurationRepository configuration, MonotonicClock clock) {
		this.configuration = configuration;
		this.clock = clock;
	}

	/**
	 * Returns whether the daemon has become ready.
	 * @return whether it may get requests
	 */
	synchronized boolean isReached() {
		if (!this.reached && this.configuration.isReady()) {
			this.reached = this.configuration.freshness().permitsKeys() || hasWaitedForTrust();
		}
		return this.reached;
	}

	private boolean hasWaitedForTrust() {
		long now = this.clock.nanoseconds();
		if (!this.knowsTables) {
			this.knowsTables = true;
			this.tablesKnownNanoseconds = now;
		}
		return now - this.tablesKnownNanoseconds >= TimeUnit.SECONDS.toNanos(TRUST_SECONDS);
	}

}
