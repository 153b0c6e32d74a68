package org.masticshelf.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.serving.ColdStart;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedPool;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Replays daemons that send to one endpoint which turns cold, in virtual time, and counts
 * the requests that it gets within each second.
 */
class ColdFleetTests {

	private static final int STEP = 10;

	private static final int FIRST_SEED = 220;

	private static final int SEEDS = 20;

	private static final int COLD_AT = 4_000;

	private static final int COLD_MILLISECONDS = 10_000;

	private static final int END = 16_000;

	private static final int ANSWER_MILLISECONDS = 20;

	/** Requests that the endpoint gets while daemons take it for warm. */
	private static final int WARM_REQUESTS_PER_SECOND = 20;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final TreeMap<Integer, List<Runnable>> scheduled = new TreeMap<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Integer> arrivals = new ArrayList<>();

	private Random random = new Random();

	private ServedTables tables;

	private boolean announced;

	private int now;

	ColdFleetTests() {
		this.clock.advance(Duration.ofHours(1));
		this.tables = tables(1);
	}

	private static ServedTables tables(double tolerated) {
		return new ServedTables(1, List.of(),
				Map.of("pool", new ServedPool("pool", 10, null, new ColdStart(COLD_MILLISECONDS, tolerated))), Map.of(),
				false, new ServedTables.Limits(1, 1));
	}

	private ServedEndpoint endpoint() {
		long remaining = (this.announced && isCold()) ? COLD_AT + COLD_MILLISECONDS - this.now : 0;
		return new ServedEndpoint("e", 1, "pool", "10.0.0.1", 80, "domain", 8, false, ServedEndpoint.Holdings.NONE,
				remaining);
	}

	private boolean isCold() {
		return this.now >= COLD_AT && this.now < COLD_AT + COLD_MILLISECONDS;
	}

	private void after(int milliseconds, Runnable action) {
		this.scheduled.computeIfAbsent(this.now + milliseconds, (key) -> new ArrayList<>()).add(action);
	}

	/**
	 * Guards against more requests than a cold endpoint withstands. One daemon is killed
	 * and started again while the endpoint is cold, one is frozen before the endpoint
	 * turns cold and continues with a queue of requests, and one is cut off from the
	 * others and takes itself for the only one.
	 * @param count the number of daemons
	 * @param tolerated the requests a second that the endpoint tolerates
	 * @param inEntry whether the endpoint's entry says that it is cold
	 */
	@ParameterizedTest
	@CsvSource({ "2, 1, true", "2, 1, false", "2, 8, true", "2, 8, false", "4, 1, true", "4, 1, false", "4, 8, true",
			"4, 8, false", "34, 1, true", "34, 1, false", "34, 8, true", "34, 8, false" })
	void coldEndpointGetsNoMoreThanTheBoundInAnySecond(int count, double tolerated, boolean inEntry) {
		int bound = (int) ColdBound.DEFAULT.requestsInOneSecond(tolerated);
		for (int run = 0; run < SEEDS; run++) {
			// Seed 236 of the last case exceeds the bound if the shares have no reserve.
			int seed = FIRST_SEED + run;
			replay(count, tolerated, inEntry, seed);
			Truth.assertWithMessage("requests in one second, seed %s", seed).that(mostInOneSecond()).isAtMost(bound);
			Truth.assertWithMessage("requests while cold, seed %s", seed).that(this.arrivals.size()).isAtLeast(5);
		}
	}

	private void replay(int count, double tolerated, boolean inEntry, int seed) {
		this.random = new Random(seed);
		this.tables = tables(tolerated);
		this.announced = inEntry;
		this.now = 0;
		this.arrivals.clear();
		this.daemons.clear();
		this.scheduled.clear();
		for (int index = 0; index < count; index++) {
			this.daemons.add(new Daemon("daemon-" + index));
		}
		this.daemons.forEach((daemon) -> daemon.cold.observe(List.of(endpoint())));
		Daemon frozen = this.daemons.getFirst();
		Daemon cutOff = this.daemons.get(1);
		after(3_000, () -> frozen.running = false);
		after(7_000, () -> {
			frozen.running = true;
			for (int request = 0; request < 50; request++) {
				frozen.queue++;
				frozen.send();
			}
		});
		after(3_500, () -> cutOff.cutOff = true);
		if (count > 2) {
			after(5_000, () -> this.daemons.get(2).running = false);
			after(6_500, () -> {
				Daemon again = new Daemon("daemon-2-again");
				again.cold.observe(List.of(endpoint()));
				this.daemons.set(2, again);
			});
		}
		if (inEntry) {
			this.daemons.forEach((daemon) -> after(COLD_AT + STEP * this.random.nextInt(3), () -> {
				if (daemon.running) {
					daemon.cold.observe(List.of(endpoint()));
				}
			}));
		}
		while (this.now < END) {
			this.clock.advance(Duration.ofMillis(STEP));
			this.now += STEP;
			while (!this.scheduled.isEmpty() && this.scheduled.firstKey() <= this.now) {
				this.scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
			}
			step();
		}
	}

	private void step() {
		if (this.now % 500 == 0) {
			this.daemons.forEach(Daemon::updatePeers);
		}
		if (this.random.nextInt(1_000) < WARM_REQUESTS_PER_SECOND * STEP) {
			this.daemons.get(this.random.nextInt(this.daemons.size())).send();
		}
		for (Daemon daemon : this.daemons) {
			if (daemon.running && this.now % 50 == 0) {
				daemon.cold.round(daemon::read);
			}
			if (daemon.running && this.now % 150 == 0) {
				daemon.tell(1);
			}
			// Whoever knows that the endpoint is cold uses its share to the full.
			if (daemon.running && (daemon.queue > 0 || daemon.cold.isCold(endpoint()))) {
				daemon.send();
			}
		}
	}

	private int mostInOneSecond() {
		int most = 0;
		for (int first : this.arrivals) {
			most = Math.max(most,
					(int) this.arrivals.stream().filter((at) -> at >= first && at <= first + 1_000).count());
		}
		return most;
	}

	/** A daemon that sends to the endpoint. */
	private final class Daemon {

		private final String name;

		private final ColdEndpoints cold;

		private final EndpointLimits limits;

		private boolean running = true;

		private boolean cutOff;

		/** Requests that came while the daemon was frozen. */
		private int queue;

		private Daemon(String name) {
			this.name = name;
			MonotonicClock time = ColdFleetTests.this.clock;
			this.cold = new ColdEndpoints(new ColdEndpoints.Settings(name, ColdBound.DEFAULT),
					() -> ColdFleetTests.this.tables, time, InstantSource.fixed(Instant.EPOCH.plusSeconds(86_400)),
					(event) -> {
					}, () -> {
					});
			this.limits = new EndpointLimits(name, time, (event) -> {
			}, () -> after(STEP, () -> tell(4)), this.cold);
			updatePeers();
		}

		private void updatePeers() {
			Set<String> names = new HashSet<>();
			if (!this.cutOff) {
				ColdFleetTests.this.daemons.stream()
					.filter((daemon) -> daemon.running && !daemon.cutOff)
					.forEach((daemon) -> names.add(daemon.name));
			}
			names.remove(this.name);
			if (this.running) {
				this.limits.setPeers(names);
			}
		}

		private void tell(int count) {
			for (int number = 0; number < count; number++) {
				List<Daemon> all = ColdFleetTests.this.daemons;
				Daemon peer = all.get(ColdFleetTests.this.random.nextInt(all.size()));
				if (this.running && peer.running && !this.cutOff && !peer.cutOff && peer != this) {
					peer.limits.merge(this.name, this.limits.reports());
				}
			}
			if (this.limits.takeChanged()) {
				after(STEP, () -> tell(4));
			}
		}

		private CompletableFuture<Collection<ServedEndpoint>> read() {
			CompletableFuture<Collection<ServedEndpoint>> answer = new CompletableFuture<>();
			after(100, () -> answer.complete(List.of(endpoint())));
			return answer;
		}

		private void send() {
			if (!this.running || !this.limits.tryTake(endpoint())) {
				return;
			}
			this.queue = Math.max(0, this.queue - 1);
			if (isCold()) {
				ColdFleetTests.this.arrivals.add(ColdFleetTests.this.now);
				after(ANSWER_MILLISECONDS, () -> {
					this.cold.learn(endpoint(), Math.max(0, COLD_AT + COLD_MILLISECONDS - ColdFleetTests.this.now));
					tell(4);
				});
			}
		}

	}

}
