package org.masticshelf.kernel.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Replays load on the slots of a pool in virtual time, with a choice of orders, to
 * compare what callers get. Not thread-safe.
 */
final class AdmissionReplay {

	private static final int SLOTS = 24;

	private static final int DAEMONS = 2;

	private static final long STEP_MILLISECONDS = 5;

	private static final long END_MILLISECONDS = 30_000;

	private static final long BURST_FROM_MILLISECONDS = 8_000;

	private static final long BURST_UNTIL_MILLISECONDS = 14_000;

	private static final long LOSS_AT_MILLISECONDS = 10_000;

	private static final long START_MILLISECONDS = 150;

	private static final double MILLISECONDS_PER_TOKEN = 10;

	private static final int MAXIMUM_RETRIES = 3;

	private static final int ORGANISATIONS = 8;

	private final Order order;

	private final Set<Condition> conditions;

	private final Random random;

	private final List<List<Caller>> queues = new ArrayList<>();

	private final List<Caller> running = new ArrayList<>();

	private final RecentWork recentWork = new RecentWork();

	private AdmissionCutoff cutoff = AdmissionCutoff.OPEN;

	private double serviceMilliseconds = 1_000;

	private int slots = SLOTS;

	private int slotsSinceMissed;

	private long now;

	private long lastNumber;

	double value;

	int urgentInTime;

	int othersInTime;

	AdmissionReplay(Order order, Set<Condition> conditions, long seed) {
		this.order = order;
		this.conditions = conditions.isEmpty() ? EnumSet.noneOf(Condition.class) : EnumSet.copyOf(conditions);
		this.random = new Random(seed);
		int queueCount = this.conditions.contains(Condition.TWO_DAEMONS) ? DAEMONS : 1;
		for (int daemon = 0; daemon < queueCount; daemon++) {
			this.queues.add(new ArrayList<>());
		}
	}

	AdmissionReplay run() {
		for (this.now = 0; this.now < END_MILLISECONDS; this.now += STEP_MILLISECONDS) {
			if (this.now == LOSS_AT_MILLISECONDS && this.conditions.contains(Condition.HALF_THE_SLOTS_LOST)) {
				this.slots = SLOTS / 2;
				this.running.subList(Math.min(this.slots, this.running.size()), this.running.size()).clear();
			}
			for (Kind kind : Kind.values()) {
				arrive(kind);
			}
			endRunning();
			this.queues.forEach((queue) -> List.copyOf(queue).forEach((caller) -> giveUp(queue, caller)));
			fill(0);
		}
		return this;
	}

	private void arrive(Kind kind) {
		boolean burst = this.now >= BURST_FROM_MILLISECONDS && this.now < BURST_UNTIL_MILLISECONDS;
		boolean bursts = burst && kind == Kind.DEFERRABLE && this.conditions.contains(Condition.DEFERRABLE_BURST);
		int organisations = ORGANISATIONS;
		double rate = kind.perSecond * (bursts ? 2.1 : 1);
		if (burst && this.conditions.contains(Condition.LARGE_ORGANISATION)) {
			// The first organisation sends six times as much as each other one.
			rate = rate * (organisations + 5) / organisations;
			organisations += 5;
		}
		if (this.random.nextDouble() < rate * STEP_MILLISECONDS / 1_000) {
			int drawn = this.random.nextInt(organisations);
			int organisation = (drawn < ORGANISATIONS) ? drawn : 0;
			long work = kind.work / 2 + this.random.nextLong(kind.work);
			boolean leaves = this.conditions.contains(Condition.THIRD_LEAVES) && this.random.nextInt(3) == 0;
			boolean retries = this.conditions.contains(Condition.THIRD_RETRIES) && this.random.nextInt(3) == 0;
			long patience = leaves ? Math.min(kind.objective / 2, 1_500) : kind.limit;
			enter(new Caller(kind, organisation, work, this.now, patience, retries ? MAXIMUM_RETRIES : 0,
					this.random.nextInt(this.queues.size()), new WaitingOrder.Waiting(kind.priority, this.now,
							kind.objective, this.now + kind.limit, START_MILLISECONDS, work, ++this.lastNumber)));
		}
	}

	private void enter(Caller caller) {
		List<Caller> queue = this.queues.get(caller.daemon);
		if (this.order == Order.BUILT && this.running.size() >= this.slots) {
			WaitingOrder.Rank rank = rank(caller);
			long ahead = this.queues.stream()
				.flatMap(List::stream)
				.filter((other) -> rank(other).compareTo(rank) < 0)
				.count();
			long expected = AdmissionCutoff.expectedMilliseconds(ahead, this.slots, this.serviceMilliseconds);
			this.cutoff = this.cutoff.decide(expected, caller.waiting.deadlineAt() - this.now);
			if (this.cutoff.refusing()) {
				retry(caller);
				return;
			}
		}
		queue.add(caller);
	}

	private void giveUp(List<Caller> queue, Caller caller) {
		long waited = this.now - caller.waiting.arrivedAt();
		// In order of arrival a request without an estimate waits for half of its limit.
		long limit = (this.order == Order.ARRIVAL) ? caller.kind.limit / 2 : caller.kind.limit;
		if (waited > Math.min(limit, caller.patience)) {
			queue.remove(caller);
			if (caller.patience >= caller.kind.limit) {
				retry(caller);
			}
		}
	}

	private void retry(Caller caller) {
		if (caller.retries > 0) {
			WaitingOrder.Waiting before = caller.waiting;
			enter(new Caller(caller.kind, caller.organisation, caller.work, caller.firstAt, caller.patience,
					caller.retries - 1, caller.daemon,
					new WaitingOrder.Waiting(before.priority(), this.now, before.objectiveMilliseconds(),
							this.now + caller.kind.limit, START_MILLISECONDS, caller.work, ++this.lastNumber)));
		}
	}

	private void endRunning() {
		for (Caller caller : List.copyOf(this.running)) {
			if (this.now >= caller.endsAt) {
				this.running.remove(caller);
				double service = caller.work * MILLISECONDS_PER_TOKEN;
				this.serviceMilliseconds += 0.1 * (service - this.serviceMilliseconds);
				fill(caller.daemon);
			}
		}
	}

	// The daemon whose request has ended learns first that there is a slot.
	private void fill(int firstDaemon) {
		for (int offset = 0; offset < this.queues.size(); offset++) {
			List<Caller> queue = this.queues.get((firstDaemon + offset) % this.queues.size());
			while (this.running.size() < this.slots) {
				Caller next = next(queue);
				if (next == null) {
					break;
				}
				queue.remove(next);
				start(next);
			}
		}
	}

	private void start(Caller caller) {
		this.running.add(caller);
		caller.endsAt = this.now + (long) (caller.work * MILLISECONDS_PER_TOKEN);
		this.recentWork.add("" + caller.organisation, caller.work, this.now);
		long firstEvent = this.now + START_MILLISECONDS - caller.firstAt;
		boolean inTime = firstEvent <= caller.kind.objective;
		this.value += inTime ? caller.kind.inTimeValue : caller.kind.lateValue;
		this.urgentInTime += (inTime && caller.kind != Kind.DEFERRABLE) ? 1 : 0;
		this.othersInTime += (inTime && caller.organisation != 0) ? 1 : 0;
	}

	private @Nullable Caller next(List<Caller> queue) {
		Comparator<Caller> comparator = switch (this.order) {
			case ARRIVAL -> Comparator.comparing((caller) -> caller.waiting.number());
			case EARLIEST_DEADLINE -> Comparator.comparing((caller) -> caller.waiting.deadlineAt());
			case LEAST_SLACK -> Comparator.comparing((caller) -> caller.waiting.slack(this.now));
			case LEAST_WORK -> Comparator.comparing((caller) -> caller.work);
			case FAIR -> Comparator.comparing((caller) -> this.recentWork.of("" + caller.organisation));
			case BUILT -> Comparator.comparing(this::rank);
		};
		if (this.order == Order.BUILT) {
			Caller missed = queue.stream().filter((caller) -> rank(caller).isMissed()).min(comparator).orElse(null);
			boolean due = missed != null && WaitingOrder.isMissedDue(this.slotsSinceMissed);
			Caller first = due ? missed : queue.stream().min(comparator).orElse(null);
			this.slotsSinceMissed = (first != null && rank(first).isMissed()) ? 0 : this.slotsSinceMissed + 1;
			return first;
		}
		return queue.stream().min(comparator).orElse(null);
	}

	private WaitingOrder.Rank rank(Caller caller) {
		return WaitingOrder.rank(caller.waiting, this.now, this.recentWork.of("" + caller.organisation));
	}

	/** An order in which waiting requests get slots. */
	enum Order {

		ARRIVAL, EARLIEST_DEADLINE, LEAST_SLACK, LEAST_WORK, FAIR, BUILT

	}

	/** What is special about a load. */
	enum Condition {

		DEFERRABLE_BURST, LARGE_ORGANISATION, THIRD_RETRIES, THIRD_LEAVES, HALF_THE_SLOTS_LOST, TWO_DAEMONS

	}

	/** A kind of request, with values for orientation. */
	private enum Kind {

		SHORT(0, 800, 3_200, 40, 4, 3.5, 0.4), INTERACTIVE(1, 1_000, 4_000, 130, 6, 2.5, 0.76),
		DEFERRABLE(2, 8_000, 20_000, 450, 2.9, 7.7, 1.8);

		private final int priority;

		private final long objective;

		private final long limit;

		private final long work;

		private final double perSecond;

		private final double inTimeValue;

		private final double lateValue;

		Kind(int priority, long objective, long limit, long work, double perSecond, double inTimeValue,
				double lateValue) {
			this.priority = priority;
			this.objective = objective;
			this.limit = limit;
			this.work = work;
			this.perSecond = perSecond;
			this.inTimeValue = inTimeValue;
			this.lateValue = lateValue;
		}

	}

	/** One attempt of a caller. */
	private static final class Caller {

		private final Kind kind;

		private final int organisation;

		private final long work;

		private final long firstAt;

		private final long patience;

		private final int retries;

		private final int daemon;

		private final WaitingOrder.Waiting waiting;

		private long endsAt;

		private Caller(Kind kind, int organisation, long work, long firstAt, long patience, int retries, int daemon,
				WaitingOrder.Waiting waiting) {
			this.kind = kind;
			this.organisation = organisation;
			this.work = work;
			this.firstAt = firstAt;
			this.patience = patience;
			this.retries = retries;
			this.daemon = daemon;
			this.waiting = waiting;
		}

	}

}
