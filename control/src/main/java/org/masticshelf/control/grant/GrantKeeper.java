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
 * Keeps the grants of the shards whose duty this daemon holds.
 * <p>
 * Invariant: nothing is given without a tenure that was valid after the time that the
 * ledger is told, so that a daemon paused past its lease gives nothing new. Safe for use
 * by several threads; each shard has its own lock.
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
			this.shards.add(new Shard(duties.compete(GrantMessages.dutyOf(number))));
		}
	}

	/**
	 * Starts to describe a keeper.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Answers the exchanges of peers.
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
	 * Answers a daemon's requests.
	 * @param call the requests
	 * @return the answers; requests whose grant is not kept here have none
	 */
	CompletableFuture<GrantMessages.Reply> exchange(GrantMessages.Call call) {
		if (call.shard() < 0 || call.shard() >= GrantMessages.SHARDS) {
			return CompletableFuture.completedFuture(GrantMessages.Reply.EMPTY);
		}
		Shard shard = this.shards.get(call.shard());
		List<CompletableFuture<Void>> loads = new ArrayList<>();
		for (GrantRequest request : call.requests()) {
			loads.add(load(shard, request));
		}
		return CompletableFuture.allOf(loads.toArray(CompletableFuture[]::new))
			.thenApply((ignored) -> answers(shard, call));
	}

	private CompletableFuture<Void> load(Shard shard, GrantRequest request) {
		GrantLimits limits = limitsOf(request.organisation());
		KeptGrant kept = (limits != null) ? shard.kept(request.organisation(), this.clock.nanoseconds()) : null;
		if (kept == null || limits == null) {
			return CompletableFuture.completedFuture(null);
		}
		return kept.load(limits).exceptionally((failure) -> {
			log(Event.named("grant.allotments.unread")
				.with("organisation", request.organisation())
				.with("cause", failure.getMessage()));
			return null;
		});
	}

	private GrantMessages.Reply answers(Shard shard, GrantMessages.Call call) {
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
		KeptGrant kept = (limits != null) ? shard.kept(request.organisation(), now) : null;
		if (kept == null || limits == null) {
			return null;
		}
		GrantAnswer answer = kept.answer(sender, request, limits, slots(), now);
		kept.write();
		return answer;
	}

	private int slots() {
		return this.members.members().size() + 1;
	}

	private @Nullable GrantLimits limitsOf(QualifiedName organisation) {
		Organisation found = this.configuration.current().findOrganisation(organisation);
		return (found != null) ? GrantLimits.of(found) : null;
	}

	private static void log(Event event) {
		EventLog.info(event);
	}

	/** The grants under one duty. */
	private final class Shard implements Duty.Listener {

		private final Duty duty;

		private final Map<QualifiedName, KeptGrant> grants = new HashMap<>();

		private Duty.@Nullable Tenure keptUnder;

		private long gainedAt;

		Shard(Duty duty) {
			this.duty = duty;
			duty.addListener(this);
		}

		/**
		 * Returns what is kept for an organisation.
		 * @param organisation the organisation
		 * @param now the time in nanoseconds, read before this call
		 * @return the grant, or {@code null} unless this daemon holds the duty
		 */
		synchronized @Nullable KeptGrant kept(QualifiedName organisation, long now) {
			Duty.Tenure tenure = this.duty.tenure();
			if (tenure == null) {
				return null;
			}
			enter(tenure, now);
			return this.grants.computeIfAbsent(organisation,
					(key) -> new KeptGrant(GrantKeeper.this.keyValue, key, tenure, this.gainedAt));
		}

		private void enter(Duty.Tenure tenure, long now) {
			if (tenure.equals(this.keptUnder)) {
				return;
			}
			this.keptUnder = tenure;
			this.gainedAt = now;
			this.grants.clear();
			log(Event.named("grant.keeper.began").with("duty", this.duty.name()).with("fencing", tenure.fencing()));
		}

		@Override
		public synchronized void gained(Duty.Tenure tenure) {
			enter(tenure, GrantKeeper.this.clock.nanoseconds());
		}

		@Override
		public synchronized void lost() {
			this.keptUnder = null;
			this.grants.clear();
			log(Event.named("grant.keeper.ended").with("duty", this.duty.name()));
		}

	}

	/** Describes a keeper. For use by one thread. */
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
		 * Sets the duties to compete for.
		 * @param value the duties
		 * @return this builder
		 */
		public Builder withDuties(Duties value) {
			this.duties = value;
			return this;
		}

		/**
		 * Sets where allotments are written.
		 * @param value the key-value service
		 * @return this builder
		 */
		public Builder withKeyValueStore(KeyValueStore value) {
			this.keyValue = value;
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
		 * Sets the daemons among which allotments are divided.
		 * @param value the members
		 * @return this builder
		 */
		public Builder withMembers(Members value) {
			this.members = value;
			return this;
		}

		/**
		 * Creates the keeper and joins the competition for its duties.
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
