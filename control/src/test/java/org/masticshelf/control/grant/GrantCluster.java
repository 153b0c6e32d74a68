package org.masticshelf.control.grant;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Simulates four daemons on one manual clock, with an election, a network and a record of
 * used tokens.
 */
final class GrantCluster {

	static final QualifiedName ORGANISATION = QualifiedName.of("sofia/crests");

	static final long RATE = 1_000;

	static final long BURST = 2_000;

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration TENURE = Duration.ofSeconds(5);

	final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	final InMemoryKeyValue keyValue = new InMemoryKeyValue(this.clock);

	final List<Daemon> daemons = new ArrayList<>();

	private final List<long[]> usages = new ArrayList<>();

	private final List<Consumer<Configuration>> configurationListeners = new ArrayList<>();

	private Configuration configuration = configurationOf(1, RATE, BURST);

	private @Nullable Daemon keeper;

	private long fencing;

	private long tenureEndsAt;

	private int incarnations;

	GrantCluster() {
		for (int instance = 0; instance < 4; instance++) {
			this.daemons.add(new Daemon(instance));
		}
		elect(this.daemons.getFirst());
	}

	private static Configuration configurationOf(long revision, long rate, long burst) {
		Organisation organisation = new Organisation(ORGANISATION, rate, burst, 1);
		return new Configuration(revision, new Tables(List.of(), List.of(), List.of(organisation), List.of()));
	}

	void configure(long rate, long burst) {
		this.configuration = configurationOf(this.configuration.revision() + 1, rate, burst);
		this.configurationListeners.forEach((listener) -> listener.accept(this.configuration));
	}

	void elect(Daemon daemon) {
		String key = "masticshelf/duty/" + dutyName();
		List<KeyValueStore.Operation> operations = List.of(new KeyValueStore.Operation.Delete(key));
		this.keyValue.transact(new KeyValueStore.Transaction(List.of(), operations)).join();
		this.fencing = this.keyValue
			.transact(new KeyValueStore.Transaction(List.of(),
					List.of(new KeyValueStore.Operation.Put(key, daemon.member.incarnation(), 0))))
			.join()
			.revision();
		this.keeper = daemon;
		this.tenureEndsAt = this.clock.nanoseconds() + TENURE.toNanos();
	}

	private static String dutyName() {
		return GrantMessages.dutyNameOf(GrantMessages.shardOf(ORGANISATION));
	}

	/** Advances the time while daemons with demand charge as many tokens as they can. */
	void run(Duration duration) {
		long end = this.clock.nanoseconds() + duration.toNanos();
		while (this.clock.nanoseconds() < end) {
			this.clock.advance(STEP);
			renew();
			List.copyOf(this.daemons).forEach(Daemon::step);
		}
	}

	private void renew() {
		Daemon current = this.keeper;
		if (current != null && current.isRunning() && !this.keyValue.faults().isDown()
				&& this.tenureEndsAt > this.clock.nanoseconds()) {
			this.tenureEndsAt = this.clock.nanoseconds() + TENURE.toNanos();
		}
	}

	boolean isTenureOver() {
		return this.tenureEndsAt <= this.clock.nanoseconds();
	}

	void setDemanding(boolean value) {
		this.daemons.forEach((daemon) -> daemon.demanding = value);
	}

	long usedSince(long time) {
		return this.usages.stream().filter((usage) -> usage[0] >= time).mapToLong((usage) -> usage[1]).sum();
	}

	long usedSince(long time, Daemon daemon) {
		return this.usages.stream()
			.filter((usage) -> usage[0] >= time && usage[2] == daemon.instance)
			.mapToLong((usage) -> usage[1])
			.sum();
	}

	/** Returns the most tokens that any window used beyond the rate. */
	long greatestBurst(long rate) {
		double excess = 0;
		double greatest = 0;
		long last = 0;
		for (long[] usage : this.usages) {
			excess = Math.max(0, excess - rate * (usage[0] - last) / 1e9) + usage[1];
			greatest = Math.max(greatest, excess);
			last = usage[0];
		}
		return (long) Math.ceil(greatest - 1e-6);
	}

	static long milliseconds(long value) {
		return value * NANOSECONDS_PER_MILLISECOND;
	}

	/** Simulates a daemon process, which may be frozen, disconnected or dead. */
	final class Daemon implements Members, Duties, ConfigurationSource, PeerChannel {

		final int instance;

		final Members.Member member;

		final InMemoryKeyValue.Client service = GrantCluster.this.keyValue.client();

		final GrantClient client;

		boolean demanding;

		boolean disconnected;

		boolean dead;

		boolean frozen;

		private final Map<String, Function<JsonNode, CompletableFuture<JsonNode>>> handlers = new HashMap<>();

		private final List<Runnable> heldMessages = new ArrayList<>();

		Daemon(int instance) {
			this.instance = instance;
			this.member = new Members.Member("incarnation-" + GrantCluster.this.incarnations++, "instance-" + instance,
					"10.0.0." + instance + ":70", "domain-" + instance % 3);
			GrantKeeper ownKeeper = GrantKeeper.builder()
				.withClock(GrantCluster.this.clock)
				.withConfiguration(this)
				.withDuties(this)
				.withKeyValueStore(this.service)
				.withMembers(this)
				.build()
				.answerOn(this);
			this.client = GrantClient.builder()
				.withClock(GrantCluster.this.clock)
				.withConfiguration(this)
				.withDuties(this)
				.withMembers(this)
				.withChannel(this)
				.withKeeper(ownKeeper)
				.build();
		}

		boolean isRunning() {
			return !this.dead && !this.frozen;
		}

		void die() {
			this.dead = true;
			this.service.faults().setDown(true);
		}

		Daemon restart() {
			die();
			Daemon started = new Daemon(this.instance);
			started.demanding = this.demanding;
			GrantCluster.this.daemons.set(this.instance, started);
			return started;
		}

		void resume() {
			this.frozen = false;
			List<Runnable> due = List.copyOf(this.heldMessages);
			this.heldMessages.clear();
			due.forEach(Runnable::run);
		}

		private void step() {
			if (!isRunning()) {
				return;
			}
			this.client.tick();
			for (int request = 0; this.demanding && request < 20; request++) {
				if (!(this.client.charge(ORGANISATION, 25) instanceof ChargeOutcome.Charged charged)) {
					return;
				}
				boolean half = request % 2 == 0;
				this.client.settle(ORGANISATION, charged, half ? 10 : 25);
				use(half ? 10 : 25);
			}
		}

		void use(long tokens) {
			GrantCluster.this.usages.add(new long[] { GrantCluster.this.clock.nanoseconds(), tokens, this.instance });
		}

		@Override
		public CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout) {
			CompletableFuture<JsonNode> answer = new CompletableFuture<>();
			Daemon peer = GrantCluster.this.daemons.stream()
				.filter((daemon) -> daemon.member.address().equals(address))
				.findFirst()
				.orElseThrow();
			if (this.disconnected || peer.disconnected || peer.dead) {
				answer.completeExceptionally(
						new ExchangeFailure(ExchangeFailure.Point.BEFORE_CONNECT, "no way to " + address));
				return answer;
			}
			Function<JsonNode, CompletableFuture<JsonNode>> handler = Objects
				.requireNonNull(peer.handlers.get(operation));
			peer.receive(() -> handler.apply(body).whenComplete((value, failure) -> receive(() -> {
				if (!this.dead && value != null) {
					answer.complete(value);
				}
			})));
			return answer;
		}

		private void receive(Runnable message) {
			if (this.frozen) {
				this.heldMessages.add(message);
			}
			else {
				message.run();
			}
		}

		@Override
		public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
			this.handlers.put(operation, handler);
		}

		@Override
		public Member self() {
			return this.member;
		}

		@Override
		public List<Member> members() {
			return GrantCluster.this.daemons.stream().map((daemon) -> daemon.member).toList();
		}

		@Override
		public Duty compete(String name) {
			return new ElectedDuty(name, this);
		}

		@Override
		public Duty follow(String name) {
			return new ElectedDuty(name, this);
		}

		@Override
		public Configuration current() {
			return GrantCluster.this.configuration;
		}

		@Override
		public Freshness freshness() {
			return Freshness.FRESH;
		}

		@Override
		public void addListener(Consumer<Configuration> listener) {
			GrantCluster.this.configurationListeners.add(listener);
		}

	}

	/** Simulates a duty whose holder the test elects. */
	private final class ElectedDuty implements Duty {

		private final String name;

		private final Daemon daemon;

		ElectedDuty(String name, Daemon daemon) {
			this.name = name;
			this.daemon = daemon;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public @Nullable Tenure tenure() {
			boolean held = GrantCluster.this.keeper == this.daemon && !isTenureOver() && this.name.equals(dutyName());
			return held ? new Tenure("masticshelf/duty/" + this.name, GrantCluster.this.fencing) : null;
		}

		@Override
		public @Nullable Holder holder() {
			Daemon current = GrantCluster.this.keeper;
			return (current != null && this.name.equals(dutyName()))
					? new Holder(current.member.incarnation(), current.member.address()) : null;
		}

		@Override
		public void addListener(Listener listener) {
		}

	}

}
