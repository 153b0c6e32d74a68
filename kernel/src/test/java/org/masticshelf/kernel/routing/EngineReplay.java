package org.masticshelf.kernel.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.masticshelf.kernel.routing.EndpointSelection.Candidate;
import org.masticshelf.kernel.routing.ExpectedTimeSelection.TimedCandidate;

/**
 * Replays a load of streams over engines in virtual time, for a way to choose among them.
 * Several daemons choose by their own requests and by the latest messages of the others.
 */
final class EngineReplay {

	private static final double[] PACES = { 1 / 0.6, 1, 1 / 1.6 };

	private static final int HOLDING_ENGINES = 5;

	private static final long GAP_MILLISECONDS = 300;

	private final Choice choice;

	private final Size size;

	private final Random random;

	private final boolean uneven;

	private final List<Engine> engines = new ArrayList<>();

	private final List<Map<String, EndpointPace>> paces = new ArrayList<>();

	private final List<PoolPaces> compared = new ArrayList<>();

	private final int[][] own;

	private final long[][] backlog;

	private int[] peerRequests;

	private long[] peerBacklog;

	private long exchangedAt;

	private long readTokens;

	private final List<Stream> streams = new ArrayList<>();

	EngineReplay(Choice choice, Size size, boolean uneven, long seed) {
		this.size = size;
		this.own = new int[size.daemons()][size.engines()];
		this.backlog = new long[size.daemons()][size.engines()];
		this.peerRequests = new int[size.engines()];
		this.peerBacklog = new long[size.engines()];
		this.choice = choice;
		this.uneven = uneven;
		this.random = new Random(seed);
		for (int index = 0; index < this.size.engines(); index++) {
			this.engines.add(new Engine(index, uneven ? PACES[index % PACES.length] : 1));
		}
		for (int daemon = 0; daemon < this.size.daemons(); daemon++) {
			this.paces.add(new HashMap<>());
			this.compared.add(PoolPaces.NONE);
		}
	}

	/**
	 * Runs the load.
	 * @param seconds its duration
	 * @param requestsPerSecond its rate
	 * @return the result
	 */
	Result run(int seconds, double requestsPerSecond) {
		double arrival = 0;
		while (arrival < seconds * 1_000.0) {
			arrival += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			advance((long) arrival);
			send((long) arrival);
		}
		advance(Long.MAX_VALUE / 4);
		Map<Long, double[]> byObjective = new HashMap<>();
		for (Stream stream : this.streams) {
			double[] counts = byObjective.computeIfAbsent(stream.work.objectiveMilliseconds(), (key) -> new double[2]);
			counts[0]++;
			counts[1] += stream.isOnTime() ? 1 : 0;
		}
		Map<Long, Double> onTime = new HashMap<>();
		byObjective.forEach((objective, counts) -> onTime.put(objective, counts[1] / counts[0]));
		return new Result(onTime, this.streams.stream().filter(Stream::isOnTime).count() / (double) this.streams.size(),
				this.readTokens);
	}

	private void advance(long until) {
		PriorityQueue<Engine> busy = new PriorityQueue<>(Comparator.comparingDouble((engine) -> engine.stepEnd));
		this.engines.stream().filter((engine) -> engine.stepEnd < Double.POSITIVE_INFINITY).forEach(busy::add);
		while (!busy.isEmpty() && busy.peek().stepEnd <= until) {
			Engine engine = busy.remove();
			engine.endStep();
			if (engine.stepEnd < Double.POSITIVE_INFINITY) {
				busy.add(engine);
			}
		}
	}

	private void send(long now) {
		exchange(now);
		int daemon = this.random.nextInt(this.size.daemons());
		int model = this.random.nextInt(40);
		int kind = this.random.nextInt(10);
		long objective = (kind < 5) ? 500 : (kind < 7) ? 3_000 : 1_200;
		long shared = (kind < 7) ? 900 : 200;
		long prompt = shared + this.random.nextInt((kind < 5) ? 900 : (kind < 7) ? 6_000 : 300);
		PromptWork work = new PromptWork(prompt, "m" + model + " s:" + shared, objective, GAP_MILLISECONDS);
		List<TimedCandidate> candidates = new ArrayList<>();
		PoolPaces known = this.compared.get(daemon);
		for (int holder = 0; holder < HOLDING_ENGINES; holder++) {
			int index = (model * 7 + holder * 11) % this.size.engines();
			double pace = known.ratio("e" + index);
			double atPeers = this.peerBacklog[index]
					- (now - this.exchangedAt) / (known.rates().tokenMilliseconds() * pace);
			int requests = this.peerRequests[index] + this.own[daemon][index];
			candidates.add(new TimedCandidate(new Candidate("e" + index, requests, true, false, 0),
					this.backlog[daemon][index] + (long) Math.max(0, atPeers), pace,
					this.engines.get(index).read.contains(work.sharedPrompt())));
		}
		TimedCandidate chosen = this.choice.choose(candidates, work, known, this.random.nextInt());
		Engine engine = this.engines.get(Integer.parseInt(chosen.candidate().identifier().substring(1)));
		Stream stream = new Stream(daemon, now, work, chosen, (kind < 7) ? 60 + this.random.nextInt(80) : 30);
		this.streams.add(stream);
		this.own[daemon][engine.index]++;
		this.backlog[daemon][engine.index] += stream.unread;
		engine.add(stream, now);
	}

	private void exchange(long now) {
		if (now - this.exchangedAt < this.size.exchangeMilliseconds()) {
			return;
		}
		this.exchangedAt = now;
		this.peerRequests = new int[this.size.engines()];
		this.peerBacklog = new long[this.size.engines()];
		Map<String, List<Double>> reported = new HashMap<>();
		for (int daemon = 0; daemon < this.size.daemons(); daemon++) {
			Map<String, EndpointPace> aged = new HashMap<>();
			this.paces.get(daemon).forEach((name, pace) -> aged.put(name, pace.aged(now)));
			PoolPaces.of(aged, Map.of()).own().forEach((name, ratio) -> {
				if (Math.abs(Math.log(ratio)) > Math.log(1.2)) {
					reported.computeIfAbsent(name, (key) -> new ArrayList<>()).add(ratio);
				}
			});
			this.compared.set(daemon, PoolPaces.of(aged, reported));
		}
		for (int index = 0; index < this.size.engines(); index++) {
			for (int daemon = 0; daemon < this.size.daemons(); daemon++) {
				// Each daemon's share of the others' load; its own part is counted apart.
				this.peerRequests[index] += this.own[daemon][index] * (this.size.daemons() - 1) / this.size.daemons();
				this.peerBacklog[index] += this.backlog[daemon][index] * (this.size.daemons() - 1)
						/ this.size.daemons();
			}
		}
	}

	/**
	 * The size of a deployment.
	 *
	 * @param daemons the daemons
	 * @param engines the engines
	 * @param exchangeMilliseconds the interval of messages between daemons
	 */
	record Size(int daemons, int engines, long exchangeMilliseconds) {
	}

	/** A way to choose. */
	interface Choice {

		/**
		 * Chooses an engine.
		 * @param candidates the engines that hold the model
		 * @param work the request
		 * @param paces the learned speed
		 * @param seed draws among equals
		 * @return the chosen one
		 */
		TimedCandidate choose(List<TimedCandidate> candidates, PromptWork work, PoolPaces paces, int seed);

	}

	/**
	 * What came of a load.
	 *
	 * @param onTimeByObjective the share of streams on time by objective
	 * @param onTime the share of all streams on time
	 * @param readTokens the prompt tokens that engines have read
	 */
	record Result(Map<Long, Double> onTimeByObjective, double onTime, long readTokens) {
	}

	/** An engine that reads prompts in chunks between the steps of generation. */
	private final class Engine {

		private final int index;

		private final double pace;

		private final Set<String> read = new HashSet<>();

		private final Deque<Stream> prompts = new ArrayDeque<>();

		private final List<Stream> running = new ArrayList<>();

		private long chunk;

		private double stepEnd = Double.POSITIVE_INFINITY;

		private double spellEnd;

		private boolean slow;

		private Engine(int index, double pace) {
			this.index = index;
			this.pace = pace;
		}

		private void add(Stream stream, double now) {
			if (this.read.contains(stream.work.sharedPrompt())) {
				stream.left -= stream.work.sharedTokens();
			}
			this.prompts.add(stream);
			if (this.stepEnd == Double.POSITIVE_INFINITY) {
				beginStep(now);
			}
		}

		private void beginStep(double now) {
			if (this.prompts.isEmpty() && this.running.isEmpty()) {
				this.stepEnd = Double.POSITIVE_INFINITY;
				return;
			}
			while (EngineReplay.this.uneven && this.spellEnd < now) {
				this.slow = !this.slow;
				this.spellEnd = Math.max(this.spellEnd, now - 1)
						+ (this.slow ? 600 : 3_400 * (0.5 + EngineReplay.this.random.nextDouble()));
			}
			this.chunk = this.prompts.isEmpty() ? 0 : Math.min(2_048, Math.max(1, this.prompts.getFirst().left));
			double normal = 8 + 0.3 * this.running.size() + this.chunk / 19.5;
			this.stepEnd = now + normal * this.pace * (this.slow ? 2.5 : 1);
		}

		private void endStep() {
			double now = this.stepEnd;
			this.running.removeIf((stream) -> stream.advance(this, now));
			if (this.chunk > 0) {
				Stream first = this.prompts.getFirst();
				first.left -= this.chunk;
				EngineReplay.this.readTokens += this.chunk;
				if (first.left <= 0) {
					this.prompts.remove();
					this.read.add(first.work.sharedPrompt());
					first.begin(this, now);
					this.running.add(first);
				}
			}
			beginStep(now);
		}

	}

	/** A request with its answer. */
	private final class Stream {

		private final int daemon;

		private final double sentAt;

		private final PromptWork work;

		private final long unread;

		private final long tokensToRead;

		private final int requestsThere;

		private final int outputTokens;

		private long left;

		private int events;

		private double firstAt;

		private double lastAt;

		private double measuredAt;

		private double longestGap;

		private Stream(int daemon, long sentAt, PromptWork work, TimedCandidate chosen, int outputTokens) {
			this.daemon = daemon;
			this.sentAt = sentAt;
			this.work = work;
			this.unread = work.promptTokens() - (chosen.hasRead() ? work.sharedTokens() : 0);
			this.tokensToRead = chosen.backlogTokens() + this.unread;
			this.requestsThere = (int) chosen.candidate().requests() + 1;
			this.outputTokens = outputTokens;
			this.left = work.promptTokens();
		}

		private void learn(Engine engine, double now, boolean reading) {
			EngineReplay.this.paces.get(this.daemon).compute("e" + engine.index, (name, known) -> {
				EndpointPace pace = (known != null) ? known : EndpointPace.NONE;
				return reading ? pace.learnReading((long) now, now - this.sentAt, this.tokensToRead)
						: pace.learnOutput((long) now, now - this.measuredAt, 16, this.requestsThere);
			});
			this.measuredAt = now;
		}

		private void begin(Engine engine, double now) {
			this.firstAt = now;
			this.lastAt = now;
			EngineReplay.this.backlog[this.daemon][engine.index] -= this.unread;
			learn(engine, now, true);
		}

		private boolean advance(Engine engine, double now) {
			this.longestGap = Math.max(this.longestGap, now - this.lastAt);
			this.lastAt = now;
			this.events++;
			if (this.events % 16 == 0) {
				learn(engine, now, false);
			}
			if (this.events == this.outputTokens) {
				EngineReplay.this.own[this.daemon][engine.index]--;
			}
			return this.events >= this.outputTokens;
		}

		private boolean isOnTime() {
			return this.firstAt - this.sentAt <= this.work.objectiveMilliseconds()
					&& this.longestGap <= this.work.gapObjectiveMilliseconds();
		}

	}

}
