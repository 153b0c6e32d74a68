package review3;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Requesters send orders whose query begins with a question mark. */
final class Case11 implements Main.Case {

	private static final List<String> ORDINARY = List.of("", "?lot=7", "?a=1&b=2", "?q=%3F", "?x=a?b");

	private static final List<String> QUESTION_MARK_FIRST = List.of("??lot=7", "??a.js,b.js", "??", "???x=1", "??q=a?b");

	private final Map<String, String> sent = new ConcurrentHashMap<>();

	private final AtomicInteger changed = new AtomicInteger();

	private final AtomicInteger ran = new AtomicInteger();

	@Override
	public int run(boolean trouble, Path folder) throws Exception {
		List<AutoCloseable> open = new ArrayList<>();
		try (Store store = new Store()) {
			store.put("op/config",
					new Config().service("order-desk", 100)
						.route("order", "/order/", "unsafe", "order-desk", 1, 2_500)
						.encode(7));
			for (int index = 0; index < 3; index++) {
				open.add(new Worker(store, "i-worker" + index, "order-desk", "test-" + (char) ('a' + index % 3), 6,
						"127.0.3." + (index + 1), this::serve));
			}
			List<Daemon> daemons = new ArrayList<>();
			for (int index = 0; index < 2; index++) {
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
			Main.pause(1_000);
			int answered = 0;
			List<String> queries = trouble ? QUESTION_MARK_FIRST : ORDINARY;
			for (int index = 0; index < 20; index++) {
				String id = "order%03d".formatted(index);
				String target = "/order/" + id + queries.get(index % queries.size());
				this.sent.put(id, target);
				Http.Message answer = Http.call(daemons.get(index % 2).callers, "POST", target,
						Map.of("Host", Config.HOST, "X-Masticshelf-Request-Id", id, "X-Masticshelf-Deadline-Ms", "2500",
								"Authorization", "Token " + Config.KEY),
						"one lot".getBytes(StandardCharsets.UTF_8), 3_000);
				Main.log("  request %s sent as POST %s, answered %d", id, target, answer.status());
				answered += (answer.status() == 200) ? 1 : 0;
			}
			Main.log("%d orders answered 200, %d run, %d of these with another query than the requester's", answered,
					this.ran.get(), this.changed.get());
			if (this.ran.get() == 0) {
				return Main.COULD_NOT_RUN;
			}
			return (this.changed.get() > 0) ? Main.BROKEN : Main.HELD;
		}
		finally {
			for (AutoCloseable one : open) {
				one.close();
			}
		}
	}

	private void serve(Http.Message request, Http.Reply reply) throws Exception {
		String id = String.valueOf(request.header("X-Masticshelf-Request-Id"));
		boolean same = request.target().equals(this.sent.get(id));
		this.ran.incrementAndGet();
		if (!same) {
			this.changed.incrementAndGet();
		}
		Main.log("  request %s run as %s%s", id, request.target(), same ? "" : ", CHANGED");
		Main.pause(40);
		reply.send(200, Map.of("X-Masticshelf-Request-Id", id, "X-Masticshelf-Server-Signature", "sign." + id),
				"done".getBytes(StandardCharsets.UTF_8));
	}

}
