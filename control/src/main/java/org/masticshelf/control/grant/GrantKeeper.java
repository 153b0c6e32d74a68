package org.masticshelf.control.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantRequest;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.transport.log.EventLog;

/**
 * Serves the grants of the shards whose duty this daemon holds.
 * <p>
 * Invariant: nothing is given out without a tenure that was still valid after the time
 * that is passed to the ledger was read, so that a daemon that was paused past its lease
 * gives out nothing new. Thread-safe; each shard has its own lock.
 */
public final class GrantKeeper {

	private final KeyValueStore keyValue;

	private final ConfigurationSource configuration;

	private final Members members;

	private final MonotonicClock clock;

	private final List<Shard> shards = new ArrayList<>();

	private GrantKeeper(Builder builder, Duties duties, KeyValueStore keyValue, ConfigurationSource configuration,
			Members members) {
		this.keyValue = keyValue;
		this.configuration = configuration;
		this.members = members;
		this.clock = builder.clock;
		for (int number = 0; number < GrantMessages.SHARDS; number++) {
			this.shards.add(new Shard(duties.compete(GrantMessages.dutyNameOf(number))));
		}
	}

	/**
	 * Creates a builder of a keeper.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Registers this keeper to answer the exchanges of peers.
	 * @param channel the channel between daemons
	 * @return this keeper
	 */
	public GrantKeeper answerOn(PeerChannel channel) {
		channel.registerHandler(GrantMessages.OPERATION,
				(body) -> exchange(GrantMessages.parse(body, GrantMessages.Call.class))
					.thenApply(GrantMessages::toJson));
		return this;
	}

	/**
	 * Answers the requests of a daemon.
	 * @param call the requests
	 * @return a future of the answers; requests for grants that this daemon does not keep
	 * have none
	 */
	CompletableFuture<GrantMessages.Reply> exchange(GrantMessages.Call call) {
		if (call.shard() < 0 || call.shard() >= GrantMessages.SHARDS) {
			return CompletableFuture.completedFuture(GrantMessages.Reply.EMPTY);
		}
		Shard shard = this.shards.get(call.shard());
		List<CompletableFuture<Void>> reads = new ArrayList<>();
		for (GrantRequest request : call.requests()) {
			reads.add(readGrant(shard, request));
		}
		return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
			.thenApply((ignored) -> answerAll(shard, call));
	}

	private CompletableFuture<Void> readGrant(Shard shard, GrantRequest request) {
		GrantLimits limits = limitsOf(request.organisation());
		ManagedGrant grant = (limits != null) ? shard.grantOf(request.organisation(), this.clock.nanoseconds()) : null;
		if (grant == null || limits == null) {
			return CompletableFuture.completedFuture(null);
		}
		return grant.load(limits).exceptionally((failure) -> {
			log(Event.named("grant.allotments.unread")
				.with("organisation", request.organisation())
				.with("cause", failure.getMessage()));
			return null;
		});
	}

	private GrantMessages.Reply answerAll(Shard shard, GrantMessages.Call call) {
		List<GrantAnswer> answers = new ArrayList<>();
		for (GrantRequest request : call.requests()) {
			GrantAnswer answer = answer(shard, call.sender(), request);
			if (answer != null) {
				answers.add(answer);
			}
		}
		return new GrantMessages.Reply(answers);
	}

	private @Nullable GrantAnswer answer(Shard shard, GrantRequest.Sender sender, GrantRequest request) {
		GrantLimits limits = limitsOf(request.organisation());
		long now = this.clock.nanoseconds();
		ManagedGrant grant = (limits != null) ? shard.grantOf(request.organisation(), now) : null;
		if (grant == null || limits == null) {
			return null;
		}
		GrantAnswer answer = grant.answer(sender, request, limits, allotmentSlots(), now);
		grant.writeAllotments();
		return answer;
	}

	private int allotmentSlots() {
		return this.members.members().size() + 1;
	}

	private @Nullable GrantLimits limitsOf(QualifiedName organisation) {
		Organisation found = this.configuration.current().findOrganisation(organisation);
		return (found != null) ? GrantLimits.of(found) : null;
	}

	private static void log(Event event) {
		EventLog.info(event);
	}

	/** Holds the grants under one duty. */
	private final class Shard implements Duty.Listener {

		private final Duty duty;

		private final Map<QualifiedName, ManagedGrant> grants = new HashMap<>();

		private Duty.@Nullable Tenure currentTenure;

		private long gainedAt;

		Shard(Duty duty) {
			this.duty = duty;
			duty.addListener(this);
		}

		/**
		 * Returns the grant of an organisation.
		 * @param organisation the organisation
		 * @param now the time in nanoseconds, read before this call checks the tenure
		 * @return the grant, or {@code null} unless this daemon holds the duty
		 */
		synchronized @Nullable ManagedGrant grantOf(QualifiedName organisation, long now) {
			Duty.Tenure tenure = this.duty.tenure();
			if (tenure == null) {
				return null;
			}
			beginTenure(tenure, now);
			return this.grants.computeIfAbsent(organisation,
					(key) -> new ManagedGrant(GrantKeeper.this.keyValue, key, tenure, this.gainedAt));
		}

		private void beginTenure(Duty.Tenure tenure, long now) {
			if (tenure.equals(this.currentTenure)) {
				return;
			}
			this.currentTenure = tenure;
			this.gainedAt = now;
			this.grants.clear();
			log(Event.named("grant.keeper.began").with("duty", this.duty.name()).with("fencing", tenure.fencing()));
		}

		@Override
		public synchronized void gained(Duty.Tenure tenure) {
			beginTenure(tenure, GrantKeeper.this.clock.nanoseconds());
		}

		@Override
		public synchronized void lost() {
			this.currentTenure = null;
			this.grants.clear();
			log(Event.named("grant.keeper.ended").with("duty", this.duty.name()));
		}

	}

	/** Builds a keeper. Confined to one thread. */
	public static final class Builder {

		private MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;

		private @Nullable Duties duties;

		private @Nullable KeyValueStore keyValue;

		private @Nullable ConfigurationSource configuration;

		private @Nullable Members members;

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
		 * Sets the duties for which the keeper competes.
		 * @param value the duties
		 * @return this builder
		 */
		public Builder withDuties(Duties value) {
			this.duties = value;
			return this;
		}

		/**
		 * Sets the service that stores allotments.
		 * @param value the key-value service
		 * @return this builder
		 */
		public Builder withKeyValueStore(KeyValueStore value) {
			this.keyValue = value;
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
		 * Sets the daemons that share the reserve for allotments.
		 * @param value the members
		 * @return this builder
		 */
		public Builder withMembers(Members value) {
			this.members = value;
			return this;
		}

		/**
		 * Creates the keeper, which competes for its duties from then on.
		 * @return the keeper
		 */
		public GrantKeeper build() {
			return new GrantKeeper(this, Objects.requireNonNull(this.duties, "duties"),
					Objects.requireNonNull(this.keyValue, "keyValue"),
					Objects.requireNonNull(this.configuration, "configuration"),
					Objects.requireNonNull(this.members, "members"));
		}

	}

}
