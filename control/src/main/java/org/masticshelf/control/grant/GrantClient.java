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
 * Spends the grants of organisations at this daemon and exchanges with their keepers.
 * <p>
 * Invariant: one call at a time is under way to the keeper of a shard, and it carries the
 * requests of all organisations that are due. Safe for use by several threads; each
 * organisation has its own lock.
 */
public final class GrantClient {

	/** How often due exchanges and deadlines are looked for, in milliseconds. */
	public static final long TICK_MILLISECONDS = 10;

	/** Up to how many organisations a daemon holds an allotment before any demand. */
	private static final int ALWAYS_HELD_ORGANISATIONS = 64;

	private static final GrantLimits NOTHING = new GrantLimits(0, 0);

	private final MonotonicClock clock;

	private final ConfigurationSource configuration;

	private final Map<QualifiedName, ClientAccount> accounts = new ConcurrentHashMap<>();

	private final List<ShardExchange> shards = new ArrayList<>();

	private final List<Consumer<QualifiedName>> listeners = new CopyOnWriteArrayList<>();

	private GrantClient(MonotonicClock clock, ConfigurationSource configuration, ShardExchange.Ways ways) {
		this.clock = clock;
		this.configuration = configuration;
		for (int number = 0; number < GrantMessages.SHARDS; number++) {
			this.shards.add(new ShardExchange(number, ways, clock));
		}
		configuration.addListener(this::adopt);
		adopt(configuration.current());
	}

	/**
	 * Starts to describe a client.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Runs the exchanges.
	 * @param scheduler the scheduler
	 * @return this client
	 */
	public GrantClient runOn(ScheduledExecutorService scheduler) {
		scheduler.scheduleWithFixedDelay(this::tick, TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
		return this;
	}

	/**
	 * Adds a listener that is told when an organisation may have got tokens.
	 * @param listener the listener, which must not block
	 */
	public void addListener(Consumer<QualifiedName> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Charges tokens now or not at all; an insufficient charge makes this daemon ask the
	 * keeper for them.
	 * @param organisation the organisation
	 * @param tokens the tokens of the prompt and the requested output
	 * @return the outcome
	 */
	public ChargeOutcome charge(QualifiedName organisation, long tokens) {
		ClientAccount account = account(organisation);
		ChargeOutcome outcome = account.charge(tokens, this.clock.nanoseconds());
		if (outcome instanceof ChargeOutcome.Insufficient) {
			exchange(organisation);
		}
		return outcome;
	}

	/**
	 * Charges tokens as soon as they are there.
	 * @param organisation the organisation
	 * @param tokens the tokens of the prompt and the requested output
	 * @param deadlineNanoseconds until when to wait, on this daemon's monotonic clock
	 * @return the outcome; insufficient as soon as the rate makes the deadline impossible
	 */
	public CompletableFuture<ChargeOutcome> chargeBy(QualifiedName organisation, long tokens,
			long deadlineNanoseconds) {
		ClientAccount account = account(organisation);
		CompletableFuture<ChargeOutcome> outcome = account.chargeBy(tokens, deadlineNanoseconds,
				this.clock.nanoseconds());
		if (!outcome.isDone()) {
			exchange(organisation);
		}
		return outcome;
	}

	/**
	 * Returns how long it takes at least until tokens can be charged, and asks the keeper
	 * for them if they are not here.
	 * @param organisation the organisation
	 * @param tokens the tokens
	 * @return nanoseconds, 0 if a charge would succeed, {@link Long#MAX_VALUE} for never
	 */
	public long waitNanoseconds(QualifiedName organisation, long tokens) {
		long wait = account(organisation).waitOf(tokens, this.clock.nanoseconds());
		if (wait > 0 && wait < Long.MAX_VALUE) {
			exchange(organisation);
		}
		return wait;
	}

	/**
	 * Returns whether the keeper of an organisation's grant has answered lately.
	 * @param organisation the organisation
	 * @return whether it is known how soon tokens can be there
	 */
	public boolean isInContact(QualifiedName organisation) {
		return account(organisation).isInContact(this.clock.nanoseconds());
	}

	/**
	 * Settles a charge with what was used.
	 * @param organisation the organisation
	 * @param charged the charge; settling it again has no effect
	 * @param usedTokens the tokens that were used, 0 if the request was not dispatched
	 */
	public void settle(QualifiedName organisation, ChargeOutcome.Charged charged, long usedTokens) {
		account(organisation).settle(charged, usedTokens, this.clock.nanoseconds());
	}

	/**
	 * Gives everything back before a planned stop; nothing can be charged afterwards.
	 * @return completed when the keepers have answered or could not be reached
	 */
	public CompletableFuture<Void> leave() {
		List<CompletableFuture<Void>> exchanges = new ArrayList<>();
		for (ShardExchange shard : this.shards) {
			exchanges.add(shard.leave());
		}
		return CompletableFuture.allOf(exchanges.toArray(CompletableFuture[]::new));
	}

	/** Runs what is due: exchanges, waiting requests and deadlines. */
	void tick() {
		this.shards.forEach(ShardExchange::run);
		long now = this.clock.nanoseconds();
		this.accounts.values().forEach((account) -> account.serve(now));
	}

	/**
	 * Returns the tokens that can be charged now.
	 * @param organisation the organisation
	 * @return the tokens
	 */
	public long heldTokens(QualifiedName organisation) {
		return account(organisation).heldTokens(this.clock.nanoseconds());
	}

	private void exchange(QualifiedName organisation) {
		this.shards.get(GrantMessages.shardOf(organisation)).run();
	}

	private ClientAccount account(QualifiedName organisation) {
		ClientAccount known = this.accounts.get(organisation);
		return (known != null) ? known : this.accounts.computeIfAbsent(organisation, this::open);
	}

	private ClientAccount open(QualifiedName organisation) {
		ClientAccount account = new ClientAccount(organisation, limitsOf(this.configuration.current(), organisation),
				this.clock.nanoseconds());
		this.shards.get(GrantMessages.shardOf(organisation)).add(account, () -> tell(organisation));
		return account;
	}

	private void tell(QualifiedName organisation) {
		this.listeners.forEach((listener) -> listener.accept(organisation));
	}

	private void adopt(Configuration current) {
		long now = this.clock.nanoseconds();
		this.accounts.forEach((organisation, account) -> account.limit(limitsOf(current, organisation), now));
		List<Organisation> organisations = current.tables().organisations();
		if (organisations.size() <= ALWAYS_HELD_ORGANISATIONS) {
			organisations.forEach((organisation) -> account(organisation.name()));
		}
	}

	private static GrantLimits limitsOf(Configuration current, QualifiedName organisation) {
		Organisation found = current.findOrganisation(organisation);
		return (found != null) ? GrantLimits.of(found) : NOTHING;
	}

	/** Describes a client. For use by one thread. */
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
		 * Sets the duties whose holders are the keepers.
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
		 * Sets where rates and bursts come from.
		 * @param value the configuration in force
		 * @return this builder
		 */
		public Builder withConfiguration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		/**
		 * Sets the members, of which this daemon's own entry is used.
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
		 * Creates the client. The address of this daemon must have been bound before.
		 * @return the client
		 */
		public GrantClient build() {
			ShardExchange.Ways ways = new ShardExchange.Ways(Objects.requireNonNull(this.members, "members").self(),
					Objects.requireNonNull(this.duties, "duties"), Objects.requireNonNull(this.channel, "channel"),
					Objects.requireNonNull(this.keeper, "keeper"));
			return new GrantClient(this.clock, Objects.requireNonNull(this.configuration, "configuration"), ways);
		}

	}

}
