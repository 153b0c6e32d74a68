import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A request that crashes each worker that begins to run it comes every six seconds, from one requester. One second after its
 * third crash the processes of all machines are killed and start again. Exits with 1 if more than three of its retries reach
 * workers later than contactMs after the third crash, sent by machines in touch.
 */
final class CrashingRequest {

	private static final long PERIOD_MILLISECONDS = 6_000;

	private static final int SENDS = 12;

	private static final long CONTACT_MILLISECONDS = 3_000;

	private static final long BACK_MILLISECONDS = 3_000;

	private static final long EXPIRY_MILLISECONDS = 3_600;

	private static final long LULL_MILLISECONDS = 400;

	private static final byte[] CRASHING = "crest 4711, 999 colours".getBytes(StandardCharsets.US_ASCII);

	private final Record record;

	private final List<Long> reached = Collections.synchronizedList(new ArrayList<>());

	private volatile boolean lull;

	private Store store;

	private CrashingRequest(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0]));
		List<Daemon> daemons = new ArrayList<>();
		int status = 2;
		try {
			status = new CrashingRequest(record).run(Files.createTempDirectory("review"), daemons,
					!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.verdict("could not run: %s", ex);
		}
		finally {
			Daemon.finish(daemons, record, "event=quarantine", "event=daemon.started");
		}
		System.exit(status);
	}

	private void startWorker(String zone, int life, int port) throws IOException {
		new Worker("i-" + zone + "-" + life, "order-desk", zone, 6, false, List.of(), this.record, port) {
			@Override
			boolean request(Http.Head head, InputStream in, OutputStream out, Socket socket) throws IOException {
				byte[] body = Http.readBody(in, head);
				if (!java.util.Arrays.equals(body, CRASHING)) {
					ran(head, body);
					sleep(43);
					answer(out, 200, echo(head), new byte[800]);
					return true;
				}
				crash(this, zone, life);
				return false;
			}
		}.register(this.store);
	}

	// Its entry expires after three silent intervals; it is back at its address under a new id.
	private void crash(Worker worker, String zone, int life) throws IOException {
		this.reached.add(Record.now());
		this.record.line("worker %s: begins to run the request for the time %d and crashes", worker.id, this.reached.size());
		int port = worker.listening.getLocalPort();
		worker.close();
		Thread.ofPlatform().daemon().start(() -> {
			Worker.sleep(BACK_MILLISECONDS);
			try {
				startWorker(zone, life + 1, port);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			Worker.sleep(EXPIRY_MILLISECONDS - BACK_MILLISECONDS);
			this.store.remove("servers/" + worker.id);
		});
	}

	private int run(Path folder, List<Daemon> daemons, boolean trouble) throws Exception {
		this.store = new Store(this.record);
		for (String zone : List.of("sofia-a", "sofia-b", "sofia-c")) {
			startWorker(zone, 1, 0);
		}
		this.store.put("op/config", Tables.text(1, ""));
		for (String zone : List.of("sofia-a", "sofia-a", "sofia-b", "sofia-c")) {
			daemons.add(new Daemon("front-" + zone + "-" + daemons.size(), zone, this.store.address(), folder));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		Worker.sleep(4_000);
		long[] served = { 0 };
		Thread sound = Thread.ofPlatform().daemon().start(() -> {
			for (int turn = 0; !Thread.currentThread().isInterrupted(); turn++) {
				while (this.lull) {
					Worker.sleep(10);
				}
				Daemon daemon = daemons.get(turn % daemons.size());
				byte[] body = ("order " + turn).getBytes(StandardCharsets.US_ASCII);
				Thread.ofPlatform().daemon().start(() -> {
					if (send(daemon, body).status() == 200) {
						synchronized (served) {
							served[0]++;
						}
					}
				});
				Worker.sleep(150);
			}
		});
		long startedAt = Long.MIN_VALUE / 2;
		boolean killed = false;
		for (int count = 0; count < SENDS; count++) {
			long next = Record.now() + PERIOD_MILLISECONDS;
			// It comes in a lull, so that the machine's choice of a worker does not depend on what else runs.
			this.lull = true;
			Worker.sleep(LULL_MILLISECONDS);
			send(daemons.get(2), CRASHING);
			this.lull = false;
			if (trouble && !killed && this.reached.size() >= 3) {
				killed = true;
				Worker.sleep(1_000);
				this.record.line("the processes of all machines are killed");
				for (Daemon daemon : daemons) {
					daemon.kill();
				}
				startedAt = Record.now();
				for (Daemon daemon : daemons) {
					daemon.start();
				}
				for (Daemon daemon : daemons) {
					daemon.awaitReady();
				}
			}
			Worker.sleep(Math.max(0, next - Record.now()));
		}
		sound.interrupt();
		if (this.reached.size() < 3 || served[0] == 0) {
			this.record.verdict("it crashed %d workers, %d sound requests were served", this.reached.size(), served[0]);
			return 2;
		}
		long from = Math.max(this.reached.get(2), startedAt) + CONTACT_MILLISECONDS;
		long late = this.reached.stream().filter((at) -> at > from).count();
		this.record.verdict("it reached workers %d times, %d of them later than contactMs after the third crash, sent by"
				+ " machines in touch; %d sound requests served", this.reached.size(), late, served[0]);
		this.record.verdict((late > 3) ? "BUDGET is broken" : "BUDGET held");
		return (late > 3) ? 1 : 0;
	}

	private Caller.Seen send(Daemon daemon, byte[] body) {
		return Caller.send(this.record, daemon, "POST", "/orders/crest", "works.example", "Authorization: Token key-1\r\n",
				body, 2_500);
	}

}
