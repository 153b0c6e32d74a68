import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.Map;

/**
 * One of four machines stands still for four seconds. Meanwhile two storms come, each of 25 versions of a desired state with
 * 1,936 more routes; the last version moves a route. Exits with 1 if a request at that machine that was sent later than
 * contactMs after it went on, and later than configApplyMs after the ack, is run by the service of the old version.
 */
final class StormWhileFrozen {

	private static final int ROUTES = 1_936;

	private static final int VERSIONS = 50;

	private static final long BETWEEN_MILLISECONDS = 200;

	private static final long GAP_MILLISECONDS = 60;

	private static final long FROZEN_MILLISECONDS = 4_000;

	private static final long CONTACT_MILLISECONDS = 3_000;

	private static final long CONFIG_APPLY_MILLISECONDS = 2_000;

	private final Record record;

	private final Map<String, String> ranBy = new ConcurrentHashMap<>();

	private StormWhileFrozen(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0]));
		List<Daemon> daemons = new ArrayList<>();
		int status = 2;
		try {
			status = new StormWhileFrozen(record).run(Files.createTempDirectory("review"), daemons,
					!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.verdict("could not run: %s", ex);
		}
		finally {
			Daemon.finish(daemons, record, "event=lease", "event=store", "event=tables");
		}
		System.exit(status);
	}

	private int run(Path folder, List<Daemon> daemons, boolean trouble) throws Exception {
		Store store = new Store(this.record);
		for (String service : List.of("order-desk", "order-desk-2")) {
			for (String zone : List.of("sofia-a", "sofia-b", "sofia-c")) {
				new Worker("i-" + service + "-" + zone, service, zone, 6, false, List.of(), this.record) {
					@Override
					boolean request(Http.Head head, InputStream in, OutputStream out, Socket socket) throws IOException {
						StormWhileFrozen.this.ranBy.put(head.header("X-Masticshelf-Request-Id"), this.service);
						return super.request(head, in, out, socket);
					}
				}.register(store);
			}
		}
		store.put("op/config", Tables.moved(1, "order-desk", ROUTES));
		for (String zone : List.of("sofia-a", "sofia-a", "sofia-b", "sofia-c")) {
			daemons.add(new Daemon("front-" + zone + "-" + daemons.size(), zone, store.address(), folder));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		Worker.sleep(6_000);
		Daemon frozen = daemons.get(3);
		long frozenAt = Record.now();
		if (trouble) {
			this.record.line("%s stands still", frozen.name);
			frozen.signal("STOP");
		}
		Worker.sleep(300);
		for (int version = 2; version <= 1 + VERSIONS; version++) {
			long from = Record.now();
			store.put("op/config", Tables.moved(version, (version <= VERSIONS) ? "order-desk" : "order-desk-2", ROUTES));
			long pause = (version == 1 + VERSIONS / 2) ? BETWEEN_MILLISECONDS : 0;
			Worker.sleep(Math.max(0, GAP_MILLISECONDS + pause - (Record.now() - from)));
		}
		long ackedAt = Record.now();
		this.record.line("ack of version %d, which moves the route to order-desk-2", 1 + VERSIONS);
		Worker.sleep(Math.max(0, frozenAt + FROZEN_MILLISECONDS - Record.now()));
		if (trouble) {
			frozen.signal("CONT");
			this.record.line("%s goes on", frozen.name);
		}
		long from = Math.max(Record.now() + CONTACT_MILLISECONDS, ackedAt + CONFIG_APPLY_MILLISECONDS) + 50;
		ConcurrentLinkedQueue<Caller.Seen> seen = new ConcurrentLinkedQueue<>();
		List<Thread> callers = new ArrayList<>();
		while (Record.now() < from + 20_000) {
			for (Daemon daemon : daemons) {
				callers.add(Thread.ofPlatform()
					.start(() -> seen.add(Caller.send(this.record, daemon, "POST", "/orders/" + daemon.name, "works.example",
							"Authorization: Token key-1\r\n", new byte[600], 2_500))));
			}
			Worker.sleep(500);
		}
		for (Thread caller : callers) {
			caller.join();
		}
		List<Caller.Seen> counted = seen.stream().filter((one) -> one.sentAt() >= from).toList();
		List<Caller.Seen> old = counted.stream().filter((one) -> "order-desk".equals(this.ranBy.get(one.id()))).toList();
		long latest = old.stream().mapToLong(Caller.Seen::sentAt).max().orElse(0);
		this.record.verdict("%d requests at machines in touch, later than configApplyMs after the ack; %d ran at the old"
				+ " service, the last of them sent %d ms after the ack", counted.size(), old.size(),
				old.isEmpty() ? 0 : latest - ackedAt);
		if (counted.stream().noneMatch((one) -> one.status() == 200)) {
			this.record.verdict("nothing was served");
			return 2;
		}
		this.record.verdict(old.isEmpty() ? "CONFIG held" : "CONFIG is broken");
		return old.isEmpty() ? 0 : 1;
	}

}
