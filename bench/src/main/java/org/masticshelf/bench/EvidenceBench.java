package org.masticshelf.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;
import org.masticshelf.serving.quarantine.RequestQuarantine;
import org.masticshelf.transport.json.Json;

/**
 * Measures what it costs daemons to share evidence on prompts that crash engines, by the
 * number of daemons: messages, bytes and processor time, and how long it takes until all
 * refuse a deadly segment. Time is moved by hand, and a message arrives in the next step.
 * <p>
 * Used by one thread.
 */
public final class EvidenceBench {

	private static final int STEP_MILLISECONDS = 5;

	private static final int ROUND_MILLISECONDS = 150;

	private static final int PEERS_OF_NEWS = 4;

	private static final int REQUESTS_PER_CRASH = 12;

	private static final int MILLISECONDS_BETWEEN_CRASHES = 1_000;

	private static final int SECONDS = 12;

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final Random random = new Random(1);

	private final List<RequestQuarantine> daemons = new ArrayList<>();

	private List<Letter> arriving = new ArrayList<>();

	private long messages;

	private long bytes;

	private long largest;

	private long nanoseconds;

	private int runs;

	private EvidenceBench(int daemons) {
		this.clock.advance(Duration.ofHours(1));
		for (int daemon = 0; daemon < daemons; daemon++) {
			this.daemons.add(new RequestQuarantine(this.clock, (event) -> {
			}, () -> {
			}));
		}
	}

	/**
	 * Runs the measurement for several numbers of daemons.
	 * @param arguments the numbers of daemons
	 */
	public static void main(String[] arguments) {
		for (String argument : arguments) {
			new EvidenceBench(Integer.parseInt(argument)).run();
		}
	}

	private void run() {
		long refusedByAllAt = -1;
		long thirdCrashAt = 2L * MILLISECONDS_BETWEEN_CRASHES;
		for (int at = 0; at < SECONDS * 1_000; at += STEP_MILLISECONDS) {
			if (at % MILLISECONDS_BETWEEN_CRASHES == 0) {
				crash();
			}
			step(at);
			this.clock.advance(Duration.ofMillis(STEP_MILLISECONDS));
			if (refusedByAllAt < 0 && at >= thirdCrashAt && this.daemons.stream().allMatch(EvidenceBench::refuses)) {
				refusedByAllAt = at + STEP_MILLISECONDS - thirdCrashAt;
			}
		}
		double daemonSeconds = this.daemons.size() * (double) SECONDS;
		System.out.printf(
				"%d daemons: %.1f messages/s and %.0f bytes/s a daemon, %d bytes at most, %.0f us a message, "
						+ "refused by all after %d ms%n",
				this.daemons.size(), this.messages / daemonSeconds, this.bytes / daemonSeconds, this.largest,
				this.nanoseconds / 1e3 / this.messages, refusedByAllAt);
	}

	private void crash() {
		ServedEndpoint endpoint = new ServedEndpoint("engine-" + ++this.runs, 1_772_393_589_239L, "pool",
				"10.1.64." + this.runs, 8126, "domain", 64, false, ServedEndpoint.Holdings.NONE);
		for (int request = 0; request < REQUESTS_PER_CRASH; request++) {
			List<String> segments = new ArrayList<>(List.of("5c1e07a2" + this.random.nextInt(3), segment()));
			segments.add((request == 0) ? "deadly" : segment());
			anyDaemon().recordCrash(endpoint, segments);
		}
	}

	private String segment() {
		return Integer.toHexString(this.random.nextInt()) + "91bd";
	}

	private RequestQuarantine anyDaemon() {
		return this.daemons.get(this.random.nextInt(this.daemons.size()));
	}

	private static boolean refuses(RequestQuarantine daemon) {
		return daemon.examine(List.of("deadly")) instanceof RequestQuarantine.Finding.Quarantined;
	}

	private void step(int at) {
		List<Letter> now = this.arriving;
		this.arriving = new ArrayList<>();
		long begun = System.nanoTime();
		for (Letter letter : now) {
			letter.to().merge("peer", Json.toValue(letter.message(), PeerMessage.CrashEvidence.class));
		}
		for (int daemon = 0; daemon < this.daemons.size(); daemon++) {
			boolean isNews = this.daemons.get(daemon).takeChanged();
			boolean due = (at + daemon * STEP_MILLISECONDS) % ROUND_MILLISECONDS == 0;
			if (this.daemons.get(daemon).hasEvidence() && (isNews || due)) {
				tell(this.daemons.get(daemon), isNews ? PEERS_OF_NEWS : 1);
			}
		}
		this.nanoseconds += System.nanoTime() - begun;
	}

	private void tell(RequestQuarantine daemon, int peers) {
		for (int peer = 0; peer < peers; peer++) {
			byte[] message = Json.toBytes(daemon.evidence());
			this.messages++;
			this.bytes += message.length;
			this.largest = Math.max(this.largest, message.length);
			this.arriving.add(new Letter(anyDaemon(), message));
		}
	}

	/**
	 * A message on its way.
	 *
	 * @param to the daemon that gets it
	 * @param message the encoded evidence
	 */
	private record Letter(RequestQuarantine to, byte[] message) {
	}

}
