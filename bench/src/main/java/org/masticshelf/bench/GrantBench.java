package org.masticshelf.bench;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;

import org.masticshelf.kernel.grant.GrantLimits;

/**
 * Measures wrongful refusals and messages of grants on a manual clock from a fixed seed.
 * <p>
 * For use by one thread.
 */
public final class GrantBench {

	/** The time of an exchange with a keeper in another failure domain. */
	static final long ROUND_TRIP_NANOSECONDS = 4_000_000L;

	private static final long MILLISECOND = 1_000_000L;

	private static final long WARM_UP_MILLISECONDS = 20_000;

	private static final long MEASURED_MILLISECONDS = 300_000;

	private static final long PATIENCE_MILLISECONDS = 1_000;

	private static final GrantLimits LIMITS = new GrantLimits(10_000, 40_000);

	private final PrintStream output;

	private GrantBench(PrintStream output) {
		this.output = output;
	}

	/**
	 * Prints the tables.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		GrantBench bench = new GrantBench(System.out);
		bench.printRefusals();
		bench.printMessages();
	}

	private void printRefusals() {
		this.output.println("| demand | scheme | requests | refused | tokens used a second |");
		this.output.println("|---|---|---|---|---|");
		for (Demand demand : List.of(Demand.ONE, Demand.EVEN, Demand.MOVING, Demand.FIVEFOLD)) {
			report(demand, "central bucket", new GrantScheme.Central(LIMITS, 0));
			report(demand, "static split", new GrantScheme.StaticSplit(LIMITS, 4, 0));
			report(demand, "keeper only", new GrantScheme.Kept(LIMITS, 4, 0, ROUND_TRIP_NANOSECONDS, 0));
			report(demand, "chosen", GrantScheme.chosen(LIMITS, 4, 0));
		}
	}

	private void report(Demand demand, String name, GrantScheme scheme) {
		Run run = new Run(demand, scheme, 4);
		run.all();
		this.output.printf(Locale.ROOT, "| %s | %s | %d | %.3f%% | %d |%n", demand.title, name, run.requests,
				100.0 * run.refused / run.requests, run.usedTokens * 1_000 / MEASURED_MILLISECONDS);
	}

	private void printMessages() {
		this.output.println();
		this.output.println("| daemons | demand | exchanges a second a daemon | bytes a second a daemon |");
		this.output.println("|---|---|---|---|");
		for (int daemons : new int[] { 4, 16, 64 }) {
			for (Demand demand : List.of(Demand.EVEN, Demand.NONE)) {
				GrantScheme.Kept scheme = GrantScheme.chosen(LIMITS, daemons, 0);
				Run run = new Run(demand, scheme, daemons);
				run.all();
				double seconds = (WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS) / 1_000.0;
				this.output.printf(Locale.ROOT, "| %d | %s | %.2f | %.0f |%n", daemons, demand.title,
						scheme.messages() / seconds / daemons, scheme.bytes() / seconds / daemons);
			}
		}
	}

	/** Where and how much an organisation sends. */
	private enum Demand {

		ONE("95% through one daemon", 0.95), EVEN("95% evenly", 0.95), MOVING("95% moving every 3 s", 0.95),
		FIVEFOLD("five times the rate", 5.0), NONE("idle", 0.0);

		private final String title;

		private final double load;

		Demand(String title, double load) {
			this.title = title;
			this.load = load;
		}

		int daemon(long milliseconds, int daemons, Random random) {
			return switch (this) {
				case ONE -> 0;
				case MOVING -> (int) (milliseconds / 3_000 % daemons);
				default -> random.nextInt(daemons);
			};
		}

	}

	/** One run of a scheme under a demand, in steps of a millisecond. */
	private static final class Run {

		private final Random random = new Random(20);

		private final Demand demand;

		private final GrantScheme scheme;

		private final List<ArrayDeque<Request>> queues = new ArrayList<>();

		private final PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAt));

		private double nextArrival;

		private long requests;

		private long refused;

		private long usedTokens;

		Run(Demand demand, GrantScheme scheme, int daemons) {
			this.demand = demand;
			this.scheme = scheme;
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.queues.add(new ArrayDeque<>());
			}
		}

		void all() {
			this.nextArrival = WARM_UP_MILLISECONDS;
			for (long time = 0; time < WARM_UP_MILLISECONDS + MEASURED_MILLISECONDS; time++) {
				step(time);
			}
		}

		private void step(long time) {
			this.scheme.step(time * MILLISECOND);
			while (!this.running.isEmpty() && this.running.peek().endsAt() <= time) {
				Running ended = this.running.remove();
				ended.settlement().settle(ended.used(), time * MILLISECOND);
			}
			while (this.demand.load > 0 && this.nextArrival <= time) {
				arrive(time);
			}
			for (int daemon = 0; daemon < this.queues.size(); daemon++) {
				serve(daemon, time);
			}
		}

		private void arrive(long time) {
			long prompt = 50 + this.random.nextInt(300);
			long requested = 100 + this.random.nextInt(800);
			long generated = 1 + (long) (requested * this.random.nextDouble());
			double meanUsed = 199.5 + 250.0;
			double gap = meanUsed / (LIMITS.tokensPerSecond() * this.demand.load) * 1_000;
			this.nextArrival += -Math.log(1 - this.random.nextDouble()) * gap;
			int daemon = this.demand.daemon(time, this.queues.size(), this.random);
			this.queues.get(daemon).addLast(new Request(time, prompt + requested, prompt + generated));
			this.requests++;
		}

		private void serve(int daemon, long time) {
			Iterator<Request> queue = this.queues.get(daemon).iterator();
			while (queue.hasNext()) {
				Request request = queue.next();
				if (time - request.arrivedAt() > PATIENCE_MILLISECONDS) {
					queue.remove();
					this.refused++;
					continue;
				}
				boolean waited = request.arrivedAt() < time;
				GrantScheme.Settlement settlement = this.scheme.charge(daemon, request.charged(), waited,
						time * MILLISECOND);
				if (settlement == null) {
					return;
				}
				queue.remove();
				this.usedTokens += request.used();
				this.running.add(new Running(time + request.used() * 5, request.used(), settlement));
			}
		}

	}

	private record Request(long arrivedAt, long charged, long used) {
	}

	private record Running(long endsAt, long used, GrantScheme.Settlement settlement) {
	}

}
