package review3;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A worker leaves without reporting that it drains, while the store cuts watches that
 * are waiting.
 */
final class Case12 implements Main.Case {

	private static final long DRAIN_MILLISECONDS = 2_000;

	/** The worker serves for a little longer than drainMs, and exits. */
	private static final long SERVES_MILLISECONDS = 3_500;

	private static final long LEAVES_AT = 6_000;

	private static final int CUTS = 3;

	private static final long CUT_INTERVAL = 900;

	private static final long LEAVES_AFTER_CUT = 300;

	private static final long END = 15_000;

	private final AtomicLong leftAt = new AtomicLong(-1);

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	@Override
	public int run(boolean trouble, Path folder) throws Exception {
		List<AutoCloseable> open = new ArrayList<>();
		try (Store store = new Store()) {
			store.put("op/config",
					new Config().service("order-desk", 100)
						.route("order", "/order/", "unsafe", "order-desk", 1, 1_200)
						.encode(7));
			Worker leaving = null;
			for (int index = 0; index < 3; index++) {
				String id = "i-worker" + index;
				boolean first = index == 0;
				Worker worker = new Worker(store, id, "order-desk", "test-" + (char) ('a' + index % 3), 6,
						"127.0.3." + (index + 1), (request, reply) -> serve(id, first, request, reply));
				open.add(worker);
				leaving = first ? worker : leaving;
			}
			List<Daemon> daemons = new ArrayList<>();
			for (int index = 0; index < 4; index++) {
				Daemon daemon = new Daemon("front-" + index, "test-" + (char) ('a' + index % 3),
						"127.0.2." + (index + 1), store.open("127.0.1.1"), folder);
				daemons.add(daemon);
				open.add(daemon);
				daemon.start();
			}
			for (Daemon daemon : daemons) {
				if (!daemon.awaitReady(20_000)) {
					Main.log("%s is not ready", daemon.name);
					return Main.COULD_NOT_RUN;
				}
			}
			Main.log("all daemons are ready");
			long zero = Main.elapsed();
			int cuts = 0;
			long lastCutAt = 0;
			boolean gone = false;
			for (int sent = 0; Main.elapsed() - zero < END; sent++) {
				long time = Main.elapsed() - zero;
				boolean cutDue = trouble && cuts < CUTS && time >= LEAVES_AT
						&& (cuts == 0 || Main.elapsed() - lastCutAt >= CUT_INTERVAL);
				if (cutDue && store.waitingWatches() >= daemons.size() / 2) {
					cuts++;
					lastCutAt = Main.elapsed();
					Main.log("the store cuts %d waiting watches", store.cutWatches());
				}
				boolean leavingDue = trouble ? cuts > 0 && Main.elapsed() - lastCutAt >= LEAVES_AFTER_CUT
						: time >= LEAVES_AT;
				if (this.leftAt.get() < 0 && leavingDue) {
					leaving.leave();
					this.leftAt.set(Main.elapsed());
					Main.log("%s leaves: its entry is removed, and it serves on", leaving.id);
				}
				if (!gone && this.leftAt.get() >= 0 && Main.elapsed() - this.leftAt.get() >= SERVES_MILLISECONDS) {
					gone = true;
					leaving.close();
					Main.log("%s exits", leaving.id);
				}
				Daemon daemon = daemons.get(sent % daemons.size());
				String id = "order%05d".formatted(sent);
				Thread.ofVirtual().start(() -> ask(daemon, id));
				Main.pause(15);
			}
			Main.pause(2_000);
			Main.log("%d requests reached the worker later than %d ms after the store had removed its entry; %d orders without an answer of a worker",
					this.late.get(), DRAIN_MILLISECONDS, this.unanswered.get());
			if (this.leftAt.get() < 0 || !gone) {
				return Main.COULD_NOT_RUN;
			}
			return (this.late.get() > 0) ? Main.BROKEN : Main.HELD;
		}
		finally {
			for (AutoCloseable one : open) {
				one.close();
			}
		}
	}

	private void serve(String worker, boolean leaving, Http.Message request, Http.Reply reply) throws Exception {
		String id = String.valueOf(request.header("X-Masticshelf-Request-Id"));
		long left = this.leftAt.get();
		long since = (leaving && left >= 0) ? Main.elapsed() - left : -1;
		Main.log("request %s at %s%s", id, worker, (since >= 0) ? ", %d ms after it left".formatted(since) : "");
		if (since > DRAIN_MILLISECONDS) {
			this.late.incrementAndGet();
		}
		Main.pause(40);
		reply.send(200, Map.of("X-Masticshelf-Request-Id", id, "X-Masticshelf-Server-Signature", "sign." + id),
				"done".getBytes(StandardCharsets.UTF_8));
	}

	private void ask(Daemon daemon, String id) {
		try {
			Http.Message answer = Http.call(daemon.callers, "POST", "/order/" + id,
					Map.of("Host", Config.HOST, "X-Masticshelf-Request-Id", id, "X-Masticshelf-Deadline-Ms", "2500",
							"Authorization", "Token " + Config.KEY, "Connection", "close"),
					"one lot".getBytes(StandardCharsets.UTF_8), 3_000);
			Main.log("request %s answered %d by %s", id, answer.status(), daemon.name);
			if (answer.status() != 200) {
				this.unanswered.incrementAndGet();
			}
		}
		catch (Exception ex) {
			this.unanswered.incrementAndGet();
			Main.log("request %s at %s: %s", id, daemon.name, ex);
		}
	}

}
