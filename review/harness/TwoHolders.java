import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plays the start of an installation, again and again for 80 s: some seconds later the store is away for a moment and comes back
 * from a copy that is some seconds old; then the machine that gave the last order is restarted, twice. Exits with 1 as soon
 * as a worker has orders of two holders with one generation number.
 */
final class TwoHolders {

	private static final int MODELS = 16;

	private static final long LATEST_START_MILLISECONDS = 80_000;

	private static final int RESTARTS = 2;

	private static final long AWAY_MILLISECONDS = 2_500;

	private static final long THAW_SLACK_MILLISECONDS = 300;

	private final Record record;

	private final Map<String, Map<Long, Set<String>>> holders = new HashMap<>();

	private volatile String lastHolder = "";

	private volatile long backAt;

	private volatile String found;

	private TwoHolders(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0]));
		Path folder = Files.createTempDirectory("review");
		List<Daemon> daemons = new ArrayList<>();
		int status = 2;
		try {
			status = new TwoHolders(record).run(folder, daemons, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.verdict("could not run: %s", ex);
		}
		finally {
			Daemon.finish(daemons, record, "event=lease", "event=duty", "event=store");
		}
		System.exit(status);
	}

	private synchronized void ordered(String worker, String holder, long token) {
		this.lastHolder = holder;
		if (Record.now() - this.backAt < THAW_SLACK_MILLISECONDS) {
			return;
		}
		Set<String> known = this.holders.computeIfAbsent(worker, (key) -> new HashMap<>())
			.computeIfAbsent(token, (key) -> new TreeSet<>());
		known.add(holder);
		if (known.size() > 1 && this.found == null) {
			this.found = "worker " + worker + " has orders with generation number " + token + " of the holders " + known;
		}
	}

	private int run(Path folder, List<Daemon> daemons, boolean trouble) throws Exception {
		List<String> models = new ArrayList<>();
		for (int index = 0; index < MODELS; index++) {
			models.add("m" + index);
		}
		boolean ordered = false;
		for (int installation = 1; Record.now() < LATEST_START_MILLISECONDS && this.found == null; installation++) {
			this.record.line("installation %d starts", installation);
			this.holders.clear();
			try (Store store = new Store(this.record)) {
				play(Files.createDirectory(folder.resolve("i" + installation)), store, daemons, models, trouble);
			}
			ordered |= !this.holders.isEmpty();
		}
		if (this.found != null) {
			this.record.verdict("ONE is broken: %s", this.found);
			return 1;
		}
		this.record.verdict(ordered ? "ONE held" : "no orders were sent");
		return ordered ? 0 : 2;
	}

	private void play(Path folder, Store store, List<Daemon> daemons, List<String> models, boolean trouble)
			throws Exception {
		List<Worker> workers = new ArrayList<>();
		for (int index = 0; index < 4; index++) {
			workers.add(startWorker(store, "i-" + index, "sofia-" + "abca".charAt(index), models.get(index)));
		}
		store.put("op/config", Tables.text(1, "", models.toArray(String[]::new)));
		Store.Copy copy = store.copy();
		List<Daemon> started = new ArrayList<>();
		for (String zone : List.of("sofia-a", "sofia-a", "sofia-b", "sofia-c")) {
			Daemon daemon = new Daemon("front-" + zone + "-" + started.size(), zone, store.address(), folder);
			started.add(daemon);
			daemons.add(daemon);
		}
		for (Daemon daemon : started) {
			daemon.awaitReady();
		}
		Thread calls = Thread.ofPlatform().daemon().start(() -> call(started));
		Worker.sleep(3_000);
		if (trouble) {
			this.record.line("drill: the store is away");
			store.leave();
			Worker.sleep(AWAY_MILLISECONDS);
			store.comeBackFrom(copy);
			this.backAt = Record.now();
		}
		await(1_500);
		// Daemons that each took a new lease can't share one: the next installation is played.
		boolean all = trouble && store.granted() >= 2 * started.size();
		await(all ? 0 : 5_000);
		for (int restart = 1; !all && restart <= RESTARTS && this.found == null; restart++) {
			restart(started);
			await(6_000);
		}
		calls.interrupt();
		started.forEach(Daemon::close);
		for (Worker worker : workers) {
			worker.close();
		}
	}

	private void await(long milliseconds) {
		for (long waited = 0; waited < milliseconds && this.found == null; waited += 100) {
			Worker.sleep(100);
		}
	}

	// Planned work: the machine that gave the last order is stopped with SIGTERM and started again.
	private void restart(List<Daemon> daemons) throws Exception {
		String holder = this.lastHolder;
		for (Daemon daemon : daemons) {
			if (daemon.name.equals(holder)) {
				this.record.line("SIGTERM to %s, which gave the last order", holder);
				daemon.signal("TERM");
				Thread.ofPlatform().daemon().start(() -> {
					while (daemon.isAlive()) {
						Worker.sleep(100);
					}
					try {
						daemon.start();
					}
					catch (java.io.IOException ex) {
						this.record.line("%s doesn't start: %s", holder, ex);
					}
				});
			}
		}
	}

	private Worker startWorker(Store store, String id, String zone, String model) throws Exception {
		Worker worker = new Worker(id, "design-llm", zone, 64, true, List.of(model), this.record) {
			@Override
			void ordered(long at, String holder, long token) {
				TwoHolders.this.ordered(this.id, holder, token);
			}

			@Override
			boolean request(Http.Head head, java.io.InputStream in, java.io.OutputStream out, java.net.Socket socket)
					throws java.io.IOException {
				byte[] body = Http.readBody(in, head);
				boolean present;
				synchronized (this) {
					present = this.models.contains(head.header("X-Masticshelf-Model"));
				}
				if (!present) {
					answer(out, 421, "X-Masticshelf-Not-Executed: 1\r\n" + echo(head), new byte[0]);
					return true;
				}
				ran(head, body);
				stream(head, out, 8, 30);
				return true;
			}
		};
		worker.loadMilliseconds = 800;
		worker.register(store);
		return worker;
	}

	// Requests for all models in turn, of which the workers hold a part, so that models are loaded all the while.
	private void call(List<Daemon> daemons) {
		for (int turn = 0; !Thread.currentThread().isInterrupted(); turn++) {
			Daemon daemon = daemons.get(turn % daemons.size());
			String model = "m" + turn * 7 % MODELS;
			Thread.ofPlatform()
				.daemon()
				.start(() -> Caller.send(this.record, daemon, "POST", "/hints/1", "works.example",
						"Authorization: Token key-1\r\nX-Masticshelf-Model: " + model
								+ "\r\nX-Masticshelf-Token-Count: 491,70\r\n",
						new byte[1_300], 8_000));
			Worker.sleep(150);
		}
	}

}
