package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.membership.Members;
import org.masticshelf.control.membership.Members.Member;
import org.masticshelf.control.membership.PullTargets;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.freshness.FreshnessDecision;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The configuration in force at a daemon, fetched from the key-value service and from
 * peers.
 * <p>
 * Invariants: the revision never decreases; a torn or invalid configuration is never put
 * in force; requests with keys are permitted only while the knowledge about withdrawn
 * keys is fresh or no key can have been withdrawn. Safe for use by several threads.
 */
public final class ConfigurationRepository implements ConfigurationSource, AutoCloseable {

	/** How often a round is run, in milliseconds. */
	public static final long ROUND_MILLISECONDS = 500;

	private static final long RELAY_POLL_INTERVAL_MILLISECONDS = 1_000;

	private static final long FALLBACK_POLL_INTERVAL_MILLISECONDS = 2_000;

	private static final long STALE_AFTER_MILLISECONDS = 2_000;

	private static final long MAXIMUM_DIRECT_AGE_MILLISECONDS = 1_600;

	private static final int ROUNDS_BETWEEN_RELAY_PULLS = 20;

	private final MonotonicClock clock;

	private final Members members;

	private final BooleanSupplier relaying;

	private final Supplier<Set<String>> relays;

	private final ConfigurationState state;

	private final ConfigurationStoreSynchronizer synchronizer;

	private final ConfigurationPeers peers;

	private final int failureDomainCount;

	private final CompletableFuture<Void> firstRound = new CompletableFuture<>();

	private long rounds;

	private @Nullable Long polledAt;

	private @Nullable ScheduledFuture<?> schedule;

	private ConfigurationRepository(Builder builder) {
		this.clock = builder.clock;
		this.members = Objects.requireNonNull(builder.members, "members");
		this.relaying = builder.relaying;
		this.relays = builder.relays;
		this.failureDomainCount = builder.failureDomains.size();
		this.state = new ConfigurationState(builder.clock, this.members.self().failureDomain(), builder.failureDomains,
				builder.log);
		this.synchronizer = new ConfigurationStoreSynchronizer(Objects.requireNonNull(builder.store, "store"),
				builder.clock, this.state, builder.log);
		this.peers = new ConfigurationPeers(Objects.requireNonNull(builder.channel, "channel"), builder.clock,
				this.state);
	}

	/**
	 * Returns a builder for a repository.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Runs rounds until closed.
	 * @param scheduler runs the rounds
	 * @return this repository
	 */
	public synchronized ConfigurationRepository start(ScheduledExecutorService scheduler) {
		this.schedule = scheduler.scheduleAtFixedRate(this::round, 0, ROUND_MILLISECONDS, TimeUnit.MILLISECONDS);
		return this;
	}

	/**
	 * Runs one round: reads the head if this daemon is a relay or its knowledge is stale,
	 * and asks peers.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> round() {
		boolean relay = this.relaying.getAsBoolean();
		long number;
		boolean polls;
		synchronized (this) {
			number = this.rounds++;
			polls = pollIsDue(relay);
			this.polledAt = polls ? Long.valueOf(this.clock.nanoseconds()) : this.polledAt;
		}
		List<CompletableFuture<Void>> steps = new ArrayList<>();
		this.synchronizer.setWatching(relay);
		if (polls) {
			steps.add(this.synchronizer.poll());
		}
		if (!relay || pullIsDue(number)) {
			for (Member peer : pullTargets(number)) {
				steps.add(this.peers.pull(peer.address()));
			}
		}
		CompletableFuture<Void> ended = CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
		ended.thenRun(() -> this.firstRound.complete(null));
		ended.thenRun(this::freshness);
		return ended;
	}

	private boolean pollIsDue(boolean relay) {
		if (this.polledAt == null) {
			return true;
		}
		long sincePoll = TimeUnit.NANOSECONDS.toMillis(this.clock.nanoseconds() - this.polledAt);
		boolean stale = this.state.confirmedMillisecondsAgo() >= STALE_AFTER_MILLISECONDS;
		return (relay && sincePoll >= RELAY_POLL_INTERVAL_MILLISECONDS)
				|| (stale && sincePoll >= FALLBACK_POLL_INTERVAL_MILLISECONDS);
	}

	// A relay asks peers only when the service does not confirm its head, and now and
	// then to learn of a newer revision than the service has. Any other daemon always
	// asks: if reading the head itself stopped it from asking peers, it would have to
	// keep reading.
	private boolean pullIsDue(long round) {
		boolean direct = this.state.serviceReachedMillisecondsAgo() < MAXIMUM_DIRECT_AGE_MILLISECONDS
				&& this.state.confirmedMillisecondsAgo() < MAXIMUM_DIRECT_AGE_MILLISECONDS;
		return !direct || round % ROUNDS_BETWEEN_RELAY_PULLS == 0;
	}

	private List<Member> pullTargets(long round) {
		boolean stale = this.state.confirmedMillisecondsAgo() >= STALE_AFTER_MILLISECONDS;
		int others = stale ? this.failureDomainCount : PullTargets.OTHER_DOMAINS;
		return PullTargets.choose(this.members.self(), this.members.members(), this.relays.get(), others, round);
	}

	@Override
	public Configuration current() {
		return this.state.adopted().configuration();
	}

	@Override
	public Freshness freshness() {
		return switch (this.state.freshness()) {
			case FreshnessDecision.Fresh fresh -> Freshness.FRESH;
			case FreshnessDecision.PresumedOutage outage -> Freshness.PRESUMED_OUTAGE;
			case FreshnessDecision.Isolated isolated -> Freshness.ISOLATED;
		};
	}

	@Override
	public void addListener(Consumer<Configuration> listener) {
		this.state.addListener(listener);
	}

	/**
	 * Returns the head in force.
	 * @return the head
	 */
	public Head head() {
		return this.state.adopted().head();
	}

	/**
	 * Returns how long ago the revision in force was certainly the head.
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} if it never was
	 */
	public long confirmedMillisecondsAgo() {
		return this.state.confirmedMillisecondsAgo();
	}

	/**
	 * Returns whether this daemon may start to serve: it has asked the service and its
	 * peers, has a configuration, and has seen no newer one.
	 * @return whether it may start to serve
	 */
	public boolean isReady() {
		long revision = current().revision();
		return this.firstRound.isDone() && revision > 0 && revision >= this.state.highestSeen();
	}

	@Override
	public void close() {
		synchronized (this) {
			if (this.schedule != null) {
				this.schedule.cancel(false);
			}
		}
		this.synchronizer.close();
	}

	/**
	 * Builds a repository. Not thread-safe.
	 */
	public static final class Builder {

		private MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

		private Consumer<Event> log = (event) -> {
		};

		private Set<String> failureDomains = Set.of();

		private BooleanSupplier relaying = () -> true;

		private Supplier<Set<String>> relays = Set::of;

		private @Nullable KeyValueStore store;

		private @Nullable PeerChannel channel;

		private @Nullable Members members;

		private Builder() {
		}

		/**
		 * Sets the clock.
		 * @param value the clock
		 * @return this builder
		 */
		public Builder clock(MonotonicClock value) {
			this.clock = value;
			return this;
		}

		/**
		 * Sets the receiver of events.
		 * @param value the receiver
		 * @return this builder
		 */
		public Builder log(Consumer<Event> value) {
			this.log = value;
			return this;
		}

		/**
		 * Sets the key-value service.
		 * @param value the key-value service
		 * @return this builder
		 */
		public Builder store(KeyValueStore value) {
			this.store = value;
			return this;
		}

		/**
		 * Sets the channel to peers.
		 * @param value the channel
		 * @return this builder
		 */
		public Builder channel(PeerChannel value) {
			this.channel = value;
			return this;
		}

		/**
		 * Sets the members.
		 * @param value the members
		 * @return this builder
		 */
		public Builder members(Members value) {
			this.members = value;
			return this;
		}

		/**
		 * Sets the configured failure domains.
		 * @param value all failure domains
		 * @return this builder
		 */
		public Builder failureDomains(Set<String> value) {
			this.failureDomains = Set.copyOf(value);
			return this;
		}

		/**
		 * Sets whether this daemon relays the configuration in its failure domain.
		 * @param value returns whether it does at the time of the call
		 * @return this builder
		 */
		public Builder relaying(BooleanSupplier value) {
			this.relaying = value;
			return this;
		}

		/**
		 * Sets which daemons relay the configuration.
		 * @param value returns their incarnations
		 * @return this builder
		 */
		public Builder relays(Supplier<Set<String>> value) {
			this.relays = value;
			return this;
		}

		/**
		 * Creates the repository, which starts to answer peers at once.
		 * @return the repository
		 */
		public ConfigurationRepository build() {
			return new ConfigurationRepository(this);
		}

	}

}
