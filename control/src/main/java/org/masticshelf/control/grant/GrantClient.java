package org.masticshelf.control.grant;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Charges requests to the grants of their organisations at this daemon and exchanges
 * messages with the keepers of the grants.
 * <p>
 * Invariant: at most one call to the keeper of a shard is pending, and it carries the
 * requests of all organisations that are due. Thread-safe; each organisation has its own
 * lock.
 */
public final class GrantClient {

	/** The interval between checks for due exchanges and deadlines, in milliseconds. */
	public static final long TICK_MILLISECONDS = 10;

	/** The number of organisations up to which all get an allotment without demand. */
	private static final int MAXIMUM_PREOPENED_ORGANISATIONS = 64;

	private static final GrantLimits NO_TOKENS = new GrantLimits(0, 0);

	private final MonotonicClock clock;

	private final ConfigurationSource configuration;

	private final Map<QualifiedName, ClientAccount> accounts = new ConcurrentHashMap<>();

	private final List<ShardExchange> shards = new ArrayList<>();

	private final List<Consumer<QualifiedName>> listeners = new CopyOnWriteArrayList<>();

	private GrantClient(MonotonicClock clock, ConfigurationSource configuration,
			ShardExchange.Dependencies dependencies) {
		this.clock = clock;
		this.configuration = configuration;
		for (int number = 0; number < GrantMessages.SHARDS; number++) {
			this.shards.add(new ShardExchange(number, dependencies, clock));
		}
		configuration.addListener(this::applyConfiguration);
		applyConfiguration(configuration.current());
	}

	/**
	 * Creates a builder of a client.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Schedules the exchanges.
	 * @param scheduler the scheduler
	 * @return this client
	 */
	public GrantClient runOn(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(this::tick, TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
		return this;
	}

	/**
	 * Adds a listener that is called when an organisation may have received tokens.
	 * @param listener the listener, which must not block
	 */
	public void addListener(Consumer<QualifiedName> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Charges tokens immediately or not at all; after an insufficient charge, this daemon
	 * requests them from the keeper.
	 * @param organisation the organisation
	 * @param tokens the tokens of the prompt and the requested output
	 * @return the outcome
	 */
	public ChargeOutcome charge(QualifiedName organisation, long tokens) {
		ClientAccount account = account(organisation);
		ChargeOutcome outcome = account.charge(tokens, this.clock.nanoseconds());
		if (outcome instanceof ChargeOutcome.Insufficient) {
			runExchange(organisation);
		}
		return outcome;
	}

	/**
	 * Charges tokens as soon as they are available.
	 * @param organisation the organisation
	 * @param tokens the tokens of the prompt and the requested output
	 * @param deadlineNanoseconds how long to wait at most, as a time on this daemon's
	 * monotonic clock
	 * @return the outcome; insufficient as soon as the rate makes the deadline
	 * unreachable
	 */
	public CompletableFuture<ChargeOutcome> chargeBy(QualifiedName organisation, long tokens,
			long deadlineNanoseconds) {
		ClientAccount account = account(organisation);
		CompletableFuture<ChargeOutcome> outcome = account.chargeBy(tokens, deadlineNanoseconds,
				this.clock.nanoseconds());
		if (!outcome.isDone()) {
			runExchange(organisation);
		}
		return outcome;
	}

	/**
	 * Returns how long it takes at least until tokens can be charged, and requests them
	 * from the keeper if this daemon does not hold them.
	 * @param organisation the organisation
	 * @param tokens the tokens
	 * @return the time in nanoseconds, 0 if a charge would succeed,
	 * {@link Long#MAX_VALUE} for never
	 */
	public long waitNanoseconds(QualifiedName organisation, long tokens) {
		long wait = account(organisation).waitNanoseconds(tokens, this.clock.nanoseconds());
		if (wait > 0 && wait < Long.MAX_VALUE) {
			runExchange(organisation);
		}
		return wait;
	}

	/**
	 * Returns whether the keeper of an organisation's grant has answered recently.
	 * @param organisation the organisation
	 * @return whether it is known how soon tokens become available
	 */
	public boolean isInContact(QualifiedName organisation) {
		return account(organisation).isInContact(this.clock.nanoseconds());
	}

	/**
	 * Settles a charge with the tokens that were used.
	 * @param organisation the organisation
	 * @param charged the charge; settling it again has no effect
	 * @param usedTokens the tokens that were used, 0 if the request was not dispatched
	 */
	public void settle(QualifiedName organisation, ChargeOutcome.Charged charged, long usedTokens) {
		account(organisation).settle(charged, usedTokens, this.clock.nanoseconds());
	}

	/**
	 * Returns all tokens before a planned stop; nothing can be charged afterwards.
	 * @return a future that completes when the keepers have answered or could not be
	 * reached
	 */
	public CompletableFuture<Void> leave() {
		List<CompletableFuture<Void>> exchanges = new ArrayList<>();
		for (ShardExchange shard : this.shards) {
			exchanges.add(shard.leave());
		}
		return CompletableFuture.allOf(exchanges.toArray(CompletableFuture[]::new));
	}

	/** Processes due exchanges, waiting requests and deadlines. */
	void tick() {
		this.shards.forEach(ShardExchange::runDue);
		long now = this.clock.nanoseconds();
		this.accounts.values().forEach((account) -> account.processWaiting(now));
	}

	/**
	 * Returns the tokens that can be charged now.
	 * @param organisation the organisation
	 * @return the tokens
	 */
	public long heldTokens(QualifiedName organisation) {
		return account(organisation).heldTokens(this.clock.nanoseconds());
	}

	private void runExchange(QualifiedName organisation) {
		this.shards.get(GrantMessages.shardOf(organisation)).runDue();
	}

	private ClientAccount account(QualifiedName organisation) {
		ClientAccount known = this.accounts.get(organisation);
		return (known != null) ? known : this.accounts.computeIfAbsent(organisation, this::openAccount);
	}

	private ClientAccount openAccount(QualifiedName organisation) {
		ClientAccount account = new ClientAccount(organisation, limitsOf(this.configuration.current(), organisation),
				this.clock.nanoseconds());
		this.shards.get(GrantMessages.shardOf(organisation)).addAccount(account, () -> notifyListeners(organisation));
		return account;
	}

	private void notifyListeners(QualifiedName organisation) {
		this.listeners.forEach((listener) -> listener.accept(organisation));
	}

	private void applyConfiguration(Configuration current) {
		long now = this.clock.nanoseconds();
		this.accounts.forEach((organisation, account) -> account.changeLimits(limitsOf(current, organisation), now));
		List<Organisation> organisations = current.tables().organisations();
		if (organisations.size() <= MAXIMUM_PREOPENED_ORGANISATIONS) {
			organisations.forEach((organisation) -> account(organisation.name()));
		}
	}

	private static GrantLimits limitsOf(Configuration current, QualifiedName organisation) {
		Organisation found = current.findOrganisation(organisation);
		return (found != null) ? GrantLimits.of(found) : NO_TOKENS;
	}

	/** Builds a client. Confined to one thread. */
	public static final class Builder {

		private MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

		private @Nullable Duties duties;

		private @Nullable PeerChannel channel;

		private @Nullable ConfigurationSource configuration;

		private @Nullable Members members;

		private @Nullable GrantKeeper keeper;

		private Builder() {
		}

		/**
		 * Sets the clock.
		 * @param value the clock
		 * @return this builder
		 */
		public Builder withClock(MonotonicClock value) {
			this.clock = value;
			return this;
		}

		/**
		 * Sets the duties, whose holders are the keepers.
		 * @param value the duties
		 * @return this builder
		 */
		public Builder withDuties(Duties value) {
			this.duties = value;
			return this;
		}

		/**
		 * Sets the channel to the keepers.
		 * @param value the channel
		 * @return this builder
		 */
		public Builder withChannel(PeerChannel value) {
			this.channel = value;
			return this;
		}

		/**
		 * Sets the source of rates and bursts.
		 * @param value the configuration in force
		 * @return this builder
		 */
		public Builder withConfiguration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		/**
		 * Sets the members, of which only this daemon's own entry is used.
		 * @param value the members
		 * @return this builder
		 */
		public Builder withMembers(Members value) {
			this.members = value;
			return this;
		}

		/**
		 * Sets the keeper of this daemon, which is called directly.
		 * @param value the keeper
		 * @return this builder
		 */
		public Builder withKeeper(GrantKeeper value) {
			this.keeper = value;
			return this;
		}

		/**
		 * Creates the client. The address of this daemon must already be bound.
		 * @return the client
		 */
		public GrantClient build() {
			ShardExchange.Dependencies dependencies = new ShardExchange.Dependencies(
					Objects.requireNonNull(this.members, "members").self(),
					Objects.requireNonNull(this.duties, "duties"), Objects.requireNonNull(this.channel, "channel"),
					Objects.requireNonNull(this.keeper, "keeper"));
			return new GrantClient(this.clock, Objects.requireNonNull(this.configuration, "configuration"),
					dependencies);
		}

	}

}
