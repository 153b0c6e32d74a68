package org.masticshelf.bench.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.masticshelf.control.configuration.ConfigurationRepository;
import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.kernel.configuration.Page;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.standins.peer.InMemoryPeers;

/**
 * One measurement at one size, in virtual time on one thread.
 * <p>
 * Processor time holds what the stand-ins of service and network spend, but not what a
 * real network and its codec would. Used by one thread.
 */
final class ControlRun {

	private static final int WARM_ROUNDS = 60;

	private static final int STEADY_ROUNDS = 120;

	private static final int CHANGES = 10;

	private static final int ROUNDS_OF_CHANGE = 16;

	private static final double ROUND_SECONDS = ConfigurationRepository.ROUND_MILLISECONDS / 1_000.0;

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final InMemoryKeyValue service = new InMemoryKeyValue(this.clock);

	private final InMemoryPeers network = new InMemoryPeers();

	private final ConfigurationWriter writer = ConfigurationWriter.of(this.service, "bench");

	private final List<BenchDaemon> daemons = new ArrayList<>();

	private final int multiple;

	private final int domains;

	/**
	 * Creates a run.
	 * @param daemons how many daemons
	 * @param domains how many failure domains
	 * @param multiple how many times the tables of today
	 */
	ControlRun(int daemons, int domains, int multiple) {
		this.multiple = multiple;
		this.domains = domains;
		List<String> names = new ArrayList<>();
		for (int number = 0; number < domains; number++) {
			names.add("domain-" + number);
		}
		for (int number = 0; number < daemons; number++) {
			this.daemons.add(new BenchDaemon(number, names, this.clock, this.service, this.network));
		}
	}

	private void rounds(int count) {
		for (int number = 0; number < count; number++) {
			this.daemons.forEach(BenchDaemon::round);
			this.clock.advance(Duration.ofMillis(ConfigurationRepository.ROUND_MILLISECONDS));
			this.service.expireLeases();
		}
	}

	/**
	 * Runs the measurement.
	 * @return the figures
	 */
	Figures run() {
		int variant = 0;
		this.writer.apply(BenchTables.make(this.multiple, variant), 0, "first").join();
		rounds(WARM_ROUNDS);
		this.network.countBytes(true);
		Map<KeyValueCall, Long> callsBefore = calls();
		Spent spentBefore = spent();
		rounds(STEADY_ROUNDS);
		Spent steady = spent().minus(spentBefore);
		Map<String, Double> callsASecond = rates(callsBefore, STEADY_ROUNDS * ROUND_SECONDS);
		this.network.countBytes(false);
		double steadyProcessor = processor(() -> rounds(STEADY_ROUNDS));
		this.network.countBytes(true);
		List<Integer> convergence = new ArrayList<>();
		Spent changeBefore = spent();
		for (int change = 0; change < CHANGES; change++) {
			convergence.add(change(++variant));
		}
		Spent changing = spent().minus(changeBefore);
		this.network.countBytes(false);
		int next = variant;
		double changeProcessor = processor(() -> {
			for (int change = 1; change <= CHANGES; change++) {
				change(next + change);
			}
		});
		Pages pages = Pages.of(BenchTables.make(this.multiple, 0));
		double writerProcessor = processor(() -> Pages.of(BenchTables.make(this.multiple, 0)));
		double steadySeconds = STEADY_ROUNDS * ROUND_SECONDS;
		double changeSeconds = CHANGES * ROUNDS_OF_CHANGE * ROUND_SECONDS;
		double steadyBytes = steady.meanBytes / steadySeconds;
		double steadyCost = steadyProcessor / this.daemons.size() / steadySeconds;
		int loadables = (BenchTables.MODELS + BenchTables.ADAPTERS) * this.multiple;
		return new Figures(this.daemons.size(), this.domains, loadables, callsASecond, this.service.watchCount(),
				steady.meanMessages / steadySeconds, steadyBytes, steady.maximumBytes / steadySeconds, steadyCost,
				convergence.stream().mapToInt(Integer::intValue).average().orElse(0) * ROUND_SECONDS,
				convergence.stream().mapToInt(Integer::intValue).max().orElse(0) * ROUND_SECONDS,
				(changing.meanBytes - steadyBytes * changeSeconds) / CHANGES,
				(changeProcessor / this.daemons.size() - steadyCost * changeSeconds
						- writerProcessor * CHANGES / this.daemons.size()) / CHANGES,
				plainBytes(pages), pages.byName().size());
	}

	private static long plainBytes(Pages pages) {
		return pages.toManifest().toText().length() + pages.byName().values().stream().mapToLong(Page::sizeBytes).sum();
	}

	private int change(int variant) {
		long revision = this.daemons.get(0).revision();
		this.writer.apply(BenchTables.make(this.multiple, variant), revision, "change").join();
		int needed = -1;
		for (int round = 0; round < ROUNDS_OF_CHANGE; round++) {
			if (needed < 0 && this.daemons.stream().allMatch((daemon) -> daemon.revision() > revision)) {
				needed = round;
			}
			rounds(1);
		}
		if (needed < 0) {
			throw new IllegalStateException("a change was not in force after " + ROUNDS_OF_CHANGE + " rounds");
		}
		return needed;
	}

	private Map<KeyValueCall, Long> calls() {
		Map<KeyValueCall, Long> counts = new EnumMap<>(KeyValueCall.class);
		for (KeyValueCall call : KeyValueCall.values()) {
			counts.put(call, this.service.count(call));
		}
		return counts;
	}

	private Map<String, Double> rates(Map<KeyValueCall, Long> before, double seconds) {
		Map<String, Double> rates = new TreeMap<>();
		calls().forEach((call, count) -> rates.put(call.name(), (count - before.getOrDefault(call, 0L)) / seconds));
		return rates;
	}

	private static double processor(Runnable work) {
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return (THREADS.getCurrentThreadCpuTime() - before) / 1e9;
	}

	private Spent spent() {
		double bytes = this.daemons.stream().mapToLong(BenchDaemon::bytes).average().orElse(0);
		double maximum = this.daemons.stream().mapToLong(BenchDaemon::bytes).max().orElse(0);
		double messages = this.daemons.stream().mapToLong(BenchDaemon::messages).average().orElse(0);
		return new Spent(bytes, maximum, messages);
	}

	/**
	 * What daemons have exchanged.
	 *
	 * @param meanBytes bytes of a daemon on average
	 * @param maximumBytes bytes of the daemon with the most
	 * @param meanMessages messages of a daemon on average
	 */
	private record Spent(double meanBytes, double maximumBytes, double meanMessages) {

		Spent minus(Spent before) {
			return new Spent(this.meanBytes - before.meanBytes, this.maximumBytes - before.maximumBytes,
					this.meanMessages - before.meanMessages);
		}

	}

	/**
	 * The figures of one size. Seconds, bytes and calls.
	 *
	 * @param daemons how many daemons
	 * @param domains how many failure domains
	 * @param loadables how many models and adapters
	 * @param callsASecond calls to the key-value service a second by kind
	 * @param watches waiting watches
	 * @param messagesASecond messages of a daemon a second
	 * @param bytesASecond bytes of a daemon a second
	 * @param maximumBytesASecond bytes a second of the daemon with the most
	 * @param processorShare processor time of a daemon, as a share of one core
	 * @param convergenceSeconds time until a change is in force everywhere, on average
	 * @param maximumConvergenceSeconds the longest such time
	 * @param bytesOfChange bytes of a daemon for one change, beside the steady ones
	 * @param processorSecondsOfChange processor time of a daemon for one change
	 * @param bytesOfPlainReading bytes for reading all pages again
	 * @param pages how many pages the tables have
	 */
	record Figures(int daemons, int domains, int loadables, Map<String, Double> callsASecond, int watches,
			double messagesASecond, double bytesASecond, double maximumBytesASecond, double processorShare,
			double convergenceSeconds, double maximumConvergenceSeconds, double bytesOfChange,
			double processorSecondsOfChange, long bytesOfPlainReading, int pages) {
	}

}
