import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters keep their channels, each for one request after the other, 35 a second in all. Three of four machines are lost
 * for good, and the requesters go to the fourth. Exits with 1 if requests that it has read get no answer half a second after
 * their route's timeout.
 */
final class KeptChannels {

	private static final int REQUESTERS = 71;

	private static final double REQUESTS_PER_SECOND = 35;

	private static final long LENGTH_MILLISECONDS = 103_000;

	private static final long CONTACT_MILLISECONDS = 3_000;

	private static final long TIMEOUT_MILLISECONDS = 1_200;

	private static final long SLACK_MILLISECONDS = 500;

	private static final long DEADLINE_MILLISECONDS = 2_500;

	private static final int FEWEST = 8;

	/** About 15,000 bytes, below maxHeaderBytes (16,384). */
	private static final String HEADERS = headers();

	private final Record record;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger lasting = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private volatile boolean lost;

	private volatile long countedFrom = Long.MAX_VALUE;

	private volatile long endsAt = Long.MAX_VALUE;

	private KeptChannels(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0]));
		List<Daemon> daemons = new ArrayList<>();
		int status = 2;
		try {
			status = new KeptChannels(record).run(Files.createTempDirectory("review"), daemons,
					!"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.verdict("could not run: %s", ex);
		}
		finally {
			Daemon.finish(daemons, record, "OutOfMemoryError", "event=daemon.started");
		}
		System.exit(status);
	}

	private static String headers() {
		StringBuilder headers = new StringBuilder();
		for (int index = 0; index < 180; index++) {
			headers.append("X-Trace-").append(index).append(": ").append("0123456789".repeat(7)).append("\r\n");
		}
		return headers.toString();
	}

	private int run(Path folder, List<Daemon> daemons, boolean trouble) throws Exception {
		Store store = new Store(this.record);
		for (String zone : List.of("sofia-a", "sofia-b", "sofia-c")) {
			new Worker("i-" + zone, "order-desk", zone, 6, false, List.of(), this.record).register(store);
		}
		store.put("op/config", Tables.text(1, ""));
		for (String zone : List.of("sofia-a", "sofia-a", "sofia-b", "sofia-c")) {
			daemons.add(new Daemon("front-" + zone + "-" + daemons.size(), zone, store.address(), folder));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		Worker.sleep(2_000);
		this.endsAt = Record.now() + LENGTH_MILLISECONDS;
		for (int requester = 0; requester < REQUESTERS; requester++) {
			int number = requester;
			Thread.ofPlatform().daemon().start(() -> call(number, daemons));
		}
		Worker.sleep(3_000);
		if (trouble) {
			this.record.line("three of four machines are lost for good");
			this.lost = true;
			for (Daemon daemon : daemons.subList(1, 4)) {
				daemon.kill();
			}
		}
		this.countedFrom = Record.now() + CONTACT_MILLISECONDS;
		while (Record.now() < this.endsAt && this.unanswered.get() < 40) {
			Worker.sleep(2_000);
			this.record.line("%d sent, %d answered, %d unanswered; %s alive: %s, ready: %s", this.sent.get(),
					this.answered.get(), this.unanswered.get(), daemons.get(0).name, daemons.get(0).isAlive(),
					daemons.get(0).isReady());
		}
		boolean broken = this.unanswered.get() >= FEWEST && 4 * this.unanswered.get() > this.lasting.get();
		this.record.verdict("%d requests, %d answered, %d lasted longer than timeoutMs, %d of these had no answer 0.5 s later",
				this.sent.get(), this.answered.get(), this.lasting.get(), this.unanswered.get());
		if (this.answered.get() == 0) {
			return 2;
		}
		this.record.verdict(broken ? "CONFIG is broken" : "CONFIG held");
		return broken ? 1 : 0;
	}

	// A requester of the zones whose machines are lost gets a channel to the machine that is left.
	private void call(int number, List<Daemon> daemons) {
		Worker.sleep((long) (number * 1_000 / REQUESTS_PER_SECOND));
		while (Record.now() < this.endsAt) {
			Daemon daemon = daemons.get(this.lost ? 0 : number % daemons.size());
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", daemon.front), 1_000);
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				boolean kept = true;
				while (kept && Record.now() < this.endsAt) {
					long next = Record.now() + (long) (REQUESTERS * 1_000 / REQUESTS_PER_SECOND);
					kept = request(number, daemon.name, socket, in);
					Worker.sleep(Math.max(0, next - Record.now()));
				}
			}
			catch (IOException ex) {
				Worker.sleep(200);
			}
		}
	}

	private boolean request(int number, String daemon, Socket socket, InputStream in) throws IOException {
		String id = "k" + number + "-" + this.sent.incrementAndGet();
		byte[] body = new byte[600];
		socket.getOutputStream()
			.write(("POST /orders/1 HTTP/1.1\r\nHost: works.example\r\nX-Masticshelf-Request-Id: " + id
					+ "\r\nX-Masticshelf-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nAuthorization: Token key-1\r\n" + HEADERS
					+ "Content-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().write(body);
		long sentAt = Record.now();
		boolean counted = sentAt >= this.countedFrom;
		socket.setSoTimeout((int) DEADLINE_MILLISECONDS);
		try {
			Http.Head head = Http.readHead(in);
			if (head == null) {
				return false;
			}
			Http.readBody(in, head);
			this.answered.incrementAndGet();
			long took = Record.now() - sentAt;
			if (counted && took >= TIMEOUT_MILLISECONDS) {
				this.lasting.incrementAndGet();
				if (took > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS) {
					this.unanswered.incrementAndGet();
				}
			}
			this.record.line("requester: %s sent at %d ms to %s, answered %d after %d ms", id, sentAt, daemon, head.status(),
					took);
			return true;
		}
		catch (SocketTimeoutException ex) {
			if (counted) {
				this.lasting.incrementAndGet();
				this.unanswered.incrementAndGet();
			}
			this.record.line("requester: %s sent at %d ms to %s, no answer at its deadline", id, sentAt, daemon);
			return false;
		}
	}

}
