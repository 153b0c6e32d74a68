package org.masticshelf.kernel.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Simulates four daemons, successive keepers, a key-value service and a network that
 * loses, duplicates, delays and reorders messages, all driven by one seed on one virtual
 * clock.
 */
final class GrantModel {

	static final QualifiedName ORGANISATION = QualifiedName.of("sofia/crests");

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private final PriorityQueue<Step> steps = new PriorityQueue<>(
			Comparator.comparingLong(Step::time).thenComparingLong(Step::number));

	private final UsageTally tally = new UsageTally();

	private final Random random;

	private final Faults faults;

	private final List<Daemon> daemons = new ArrayList<>();

	private GrantLimits limits;

	private List<Allotment> written = List.of();

	private @Nullable Keeper keeper;

	private long now;

	private long stepNumber;

	private int demandingDaemons;

	private long incarnations;

	private long fencing;

	GrantModel(GrantLimits limits, Faults faults, long seed) {
		this.limits = limits;
		this.faults = faults;
		this.random = new Random(seed);
	}

	UsageTally run(long seconds) {
		for (int instance = 0; instance < 4; instance++) {
			this.daemons.add(new Daemon(instance, "10.0.0." + instance + ":70"));
		}
		electKeeper();
		this.daemons.forEach(Daemon::start);
		scheduleAfter(1, this::injectFaults);
		scheduleAfter(1, this::changeDemand);
		long end = seconds * 1_000 * NANOSECONDS_PER_MILLISECOND;
		while (!this.steps.isEmpty() && this.steps.peek().time() <= end) {
			Step step = this.steps.remove();
			this.now = Math.max(this.now, step.time());
			step.action().run();
		}
		return this.tally;
	}

	private void scheduleAfter(long milliseconds, Runnable action) {
		scheduleAt(this.now + Math.max(0, milliseconds) * NANOSECONDS_PER_MILLISECOND + this.random.nextInt(1_000_000),
				action);
	}

	private void scheduleAt(long time, Runnable action) {
		this.steps.add(new Step(time, this.stepNumber++, action));
	}

	private boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	private void electKeeper() {
		this.keeper = new Keeper(++this.fencing);
	}

	/** Alternates between no demand, while buckets fill, and unlimited demand. */
	private void changeDemand() {
		this.demandingDaemons = chance(0.4) ? 0 : 1 + this.random.nextInt(15);
		scheduleAfter(this.random.nextInt((this.demandingDaemons == 0) ? 6_000 : 3_000), this::changeDemand);
	}

	/** Injects faults and schedules the next ones. */
	private void injectFaults() {
		Daemon daemon = this.daemons.get(this.random.nextInt(4));
		if (chance(this.faults.kill())) {
			daemon.restart(chance(0.3));
		}
		if (chance(this.faults.freeze())) {
			daemon.frozenUntil = this.now + this.random.nextInt(12_000) * NANOSECONDS_PER_MILLISECOND;
		}
		if (chance(this.faults.cut())) {
			daemon.disconnectedUntil = this.now + this.random.nextInt(15_000) * NANOSECONDS_PER_MILLISECOND;
		}
		if (chance(this.faults.move())) {
			this.keeper = null;
			scheduleAfter(chance(0.5) ? 0 : this.random.nextInt(6_000), this::electKeeper);
		}
		if (chance(this.faults.pause())) {
			this.now += this.random.nextLong(5_400_000) * NANOSECONDS_PER_MILLISECOND;
		}
		scheduleAfter(this.random.nextInt(4_000), this::injectFaults);
	}

	private void transmit(Daemon daemon, Runnable delivery) {
		int copies = chance(this.faults.duplicate()) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			if (daemon.disconnectedUntil <= this.now && !chance(this.faults.lose())) {
				scheduleAfter(chance(this.faults.late()) ? this.random.nextInt(4_000) : this.random.nextInt(3),
						delivery);
			}
		}
	}

	private long drawTokens() {
		long burst = Math.max(2, this.limits.burstTokens());
		return chance(0.02) ? 1 + this.random.nextLong(burst) : 1 + this.random.nextLong(Math.max(2, burst / 8));
	}

	/**
	 * Holds the probabilities of the faults, per injection and per message.
	 */
	record Faults(double kill, double freeze, double cut, double move, double pause, double lose, double duplicate,
			double late) {
	}

	private record Step(long time, long number, Runnable action) {
	}

	/** Simulates a daemon process and the requests that arrive at it. */
	private final class Daemon {

		private final int instance;

		private String address;

		private GrantRequest.Sender sender;

		private DaemonAccount account;

		private final ArrayDeque<Long> waiting = new ArrayDeque<>();

		private long frozenUntil;

		private long disconnectedUntil;

		Daemon(int instance, String address) {
			this.instance = instance;
			this.address = address;
			this.sender = nextSender();
			this.account = new DaemonAccount(ORGANISATION, GrantModel.this.limits, 0);
		}

		private GrantRequest.Sender nextSender() {
			long number = ++GrantModel.this.incarnations;
			return new GrantRequest.Sender("incarnation-" + number, "instance-" + this.instance, this.address);
		}

		void start() {
			DaemonAccount owner = this.account;
			scheduleEvery(owner, 40, () -> demand(owner));
			scheduleEvery(owner, 30, () -> exchange(owner));
		}

		private void scheduleEvery(DaemonAccount owner, int milliseconds, Runnable action) {
			scheduleAfter(GrantModel.this.random.nextInt(milliseconds), () -> {
				if (owner == this.account) {
					whenRunning(owner, action);
					scheduleEvery(owner, milliseconds, action);
				}
			});
		}

		private void whenRunning(DaemonAccount owner, Runnable action) {
			if (owner != this.account) {
				return;
			}
			if (this.frozenUntil > GrantModel.this.now) {
				scheduleAt(this.frozenUntil, () -> whenRunning(owner, action));
				return;
			}
			action.run();
		}

		void restart(boolean newAddress) {
			if (newAddress) {
				this.address = "10.0.1." + GrantModel.this.incarnations + ":70";
			}
			this.frozenUntil = 0;
			this.sender = nextSender();
			this.account = new DaemonAccount(ORGANISATION, GrantModel.this.limits, GrantModel.this.now);
			this.waiting.clear();
			start();
		}

		private void demand(DaemonAccount owner) {
			boolean demanding = (GrantModel.this.demandingDaemons & (1 << this.instance)) != 0;
			while (demanding && this.waiting.size() < 10) {
				long tokens = drawTokens();
				owner.recordDemand(tokens, GrantModel.this.now);
				this.waiting.addLast(tokens);
			}
			if (!demanding) {
				this.waiting.clear();
			}
			chargeWaiting(owner);
		}

		private void chargeWaiting(DaemonAccount owner) {
			while (!this.waiting.isEmpty()) {
				long tokens = this.waiting.peekFirst();
				ChargeOutcome outcome = owner.charge(tokens, GrantModel.this.now);
				if (outcome instanceof ChargeOutcome.Charged charged) {
					run(owner, charged);
				}
				else if (outcome instanceof ChargeOutcome.Insufficient) {
					return;
				}
				this.waiting.removeFirst();
			}
		}

		private void run(DaemonAccount owner, ChargeOutcome.Charged charged) {
			UsageTally.Usage usage = new UsageTally.Usage(GrantModel.this.now, charged.tokens());
			GrantModel.this.tally.add(usage);
			long used = chance(0.7) ? charged.tokens() : GrantModel.this.random.nextLong(charged.tokens() + 1);
			int duration = chance(0.1) ? 8_000 : 300;
			scheduleAfter(GrantModel.this.random.nextInt(duration), () -> whenRunning(owner, () -> {
				usage.settle(used);
				owner.settle(charged, used, GrantModel.this.now);
			}));
		}

		private void exchange(DaemonAccount owner) {
			Keeper target = GrantModel.this.keeper;
			long first = this.waiting.isEmpty() ? 0 : this.waiting.peekFirst();
			if (target == null || owner.nextExchangeAt(first, GrantModel.this.now) > GrantModel.this.now) {
				return;
			}
			long total = this.waiting.stream().mapToLong(Long::longValue).sum();
			GrantRequest request = owner.beginExchange(first, total, GrantModel.this.now);
			GrantRequest.Sender from = this.sender;
			Consumer<GrantAnswer> back = (answer) -> transmit(this, () -> whenRunning(owner, () -> {
				owner.acceptAnswer(answer, GrantModel.this.now);
				chargeWaiting(owner);
			}));
			transmit(this, () -> target.receive(from, request, back));
			scheduleAfter(500, () -> whenRunning(owner, () -> {
				if (owner.pendingSequence() == request.sequence()) {
					owner.abandonExchange();
				}
			}));
		}

	}

	/** Simulates a keeper during one tenure. */
	private final class Keeper {

		private final long number;

		private final KeeperLedger ledger;

		private boolean writing;

		Keeper(long number) {
			this.number = number;
			this.ledger = new KeeperLedger(GrantModel.this.limits, number, GrantModel.this.written,
					GrantParameters.RESERVE_PARTS_PER_MILLION, GrantModel.this.now);
		}

		void receive(GrantRequest.Sender from, GrantRequest request, Consumer<GrantAnswer> back) {
			if (GrantModel.this.keeper != this) {
				return;
			}
			GrantAnswer answer = this.ledger.answer(from, request, 5, GrantModel.this.now);
			if (answer != null) {
				back.accept(answer);
			}
			write();
		}

		private void write() {
			List<Allotment> toWrite = this.writing ? null : this.ledger.pollAllotmentsToWrite();
			if (toWrite == null) {
				return;
			}
			this.writing = true;
			boolean applied = chance(0.8);
			boolean answered = chance(0.8);
			scheduleAfter(GrantModel.this.random.nextInt(20), () -> {
				if (applied && GrantModel.this.keeper == this) {
					GrantModel.this.written = toWrite;
				}
				scheduleAfter(GrantModel.this.random.nextInt(200), () -> written(toWrite, applied && answered));
			});
		}

		private void written(List<Allotment> toWrite, boolean known) {
			this.writing = false;
			if (known) {
				this.ledger.confirmWritten(toWrite);
			}
			else {
				this.ledger.retryWrite();
			}
		}

	}

}
