package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A worker turns requests away with Retry-After, and is cut off from the store for some
 * seconds meanwhile.
 */
final class Case15 implements Main.Case {

	private static final int RETRY_AFTER_SECONDS = 15;

	private static final long OVERLOADED_FROM = 6_000;

	private static final long OVERLOADED_UNTIL = 7_000;

	private static final long CUT_FROM = 7_500;

	private static final long CUT_UNTIL = 12_500;

	private static final long END = 20_500;

	private final Map<String, String> machineOf = new ConcurrentHashMap<>();

	/** When the worker told a machine to stay away first, by machine. */
	private final Map<String, Long> toldAt = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> unwanted = new ConcurrentHashMap<>();

	@Override
	public int run(boolean trouble, Path folder) throws Exception {
		AtomicLong zero = new AtomicLong(Long.MAX_VALUE / 2);
		List<AutoCloseable> open = new ArrayList<>();
		try (Store store = new Store()) {
			store.put("op/config",
					new Config().service("order-desk", 100)
						.route("stock", "/stock/", "safe", "order-desk", 2, 1_200)
						.encode(7));
			Worker needy = null;
			for (int index = 0; index < 5; index++) {
				boolean first = index == 0;
				String id = "i-worker" + index;
				Worker worker = new Worker(store, id, "order-desk", "test-" + (char) ('a' + index % 3), 6,
						"127.0.3." + (index + 1), (request, reply) -> serve(id, first, zero, request, reply));
				open.add(worker);
				needy = first ? worker : needy;
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
			zero.set(Main.elapsed());
			int sent = 0;
			boolean cut = false;
			boolean healed = false;
			while (Main.elapsed() - zero.get() < END) {
				long time = Main.elapsed() - zero.get();
				if (trouble && !cut && time >= CUT_FROM) {
					cut = true;
					needy.cutFromStore(true);
					Main.log("%s is cut off from the store", needy.id);
				}
				if (cut && !healed && time >= CUT_UNTIL) {
					healed = true;
					Main.log("the cut heals; its entry is %s", store.contains("servers/" + needy.id) ? "there" : "gone");
					needy.cutFromStore(false);
				}
				Daemon daemon = daemons.get(sent % daemons.size());
				String id = "request%05d".formatted(sent++);
				this.machineOf.put(id, daemon.name);
				Thread.ofVirtual().start(() -> ask(daemon, id));
				Main.pause(20);
			}
			Main.pause(1_500);
			int most = 0;
			for (Daemon daemon : daemons) {
				int count = this.unwanted.getOrDefault(daemon.name, new AtomicInteger()).get();
				Main.log("%s: told at %s ms, %d requests from 0.5 s after that until the end of the time", daemon.name,
						this.toldAt.get(daemon.name), count);
				most = Math.max(most, count);
			}
			if (this.toldAt.isEmpty()) {
				return Main.COULD_NOT_RUN;
			}
			return (most > 2) ? Main.BROKEN : Main.HELD;
		}
		finally {
			for (AutoCloseable one : open) {
				one.close();
			}
		}
	}

	private void serve(String worker, boolean needy, AtomicLong zero, Http.Message request, Http.Reply reply)
			throws Exception {
		String id = String.valueOf(request.header("X-Masticshelf-Request-Id"));
		String machine = this.machineOf.getOrDefault(id, "unknown");
		long time = Main.elapsed() - zero.get();
		boolean overloaded = needy && time >= OVERLOADED_FROM && time < OVERLOADED_UNTIL;
		Long told = needy ? this.toldAt.get(machine) : null;
		long since = (told != null) ? Main.elapsed() - told : -1;
		boolean counts = since >= 500 && since < RETRY_AFTER_SECONDS * 1_000;
		Main.log("request %s from %s at %s%s", id, machine, worker, counts ? ", which wants nothing from it" : "");
		if (counts) {
			this.unwanted.computeIfAbsent(machine, (key) -> new AtomicInteger()).incrementAndGet();
		}
		if (overloaded) {
			this.toldAt.putIfAbsent(machine, Main.elapsed());
			reply.send(503, Map.of("X-Masticshelf-Request-Id", id, "X-Masticshelf-Not-Executed", "1", "Retry-After",
					Integer.toString(RETRY_AFTER_SECONDS)), new byte[0]);
			return;
		}
		Main.pause(40);
		reply.send(200, Map.of("X-Masticshelf-Request-Id", id, "X-Masticshelf-Server-Signature", "sign." + id),
				"stock".getBytes());
	}

	private void ask(Daemon daemon, String id) {
		try {
			Http.Message answer = Http.call(daemon.callers, "GET", "/stock/" + id,
					Map.of("Host", Config.HOST, "X-Masticshelf-Request-Id", id, "X-Masticshelf-Deadline-Ms", "2500",
							"Authorization", "Token " + Config.KEY, "Connection", "close"),
					new byte[0], 3_000);
			Main.log("request %s answered %d by %s", id, answer.status(), daemon.name);
		}
		catch (Exception ex) {
			Main.log("request %s at %s: %s", id, daemon.name, ex);
		}
	}

}
