package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One part of long prompts crashes each worker that begins to write an answer on it.
 */
final class Case12 implements Main.Case {

	private static final long CONTACT_MILLISECONDS = 3_000;

	private static final long BACK_AFTER_MILLISECONDS = 3_000;

	private static final int ALLOWED = 3;

	private static final long POISON_FROM = 4_000;

	private static final long END = 45_000;

	/** The place of the part in the prompt, from 0; the prompt has four parts more. */
	private static final int POSITION = 66;

	private static final String POISON = "bad0bad0";

	private final List<Long> crashes = new ArrayList<>();

	private final List<Long> poisonArrivals = new ArrayList<>();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	@Override
	public int run(boolean trouble, Path folder) throws Exception {
		List<AutoCloseable> open = new ArrayList<>();
		try (Store store = new Store()) {
			store.put("op/config", new Config().engine("design-llm", "m0")
				.stream("hint", "/hint/", "design-llm", 8_000)
				.encode(7));
			for (int index = 0; index < 6; index++) {
				open.add(new ModelWorker(store, "i-model" + index, "test-" + (char) ('a' + index % 3),
						"127.0.3." + (index + 1)));
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
			for (int sent = 0; Main.elapsed() - zero < END; sent++) {
				Daemon daemon = daemons.get(sent % daemons.size());
				String id = "hint%05d".formatted(sent);
				// 20 sound requests to one with the part.
				boolean poison = trouble && Main.elapsed() - zero >= POISON_FROM && sent % 21 == 0;
				Thread.ofVirtual().start(() -> ask(daemon, id, poison));
				Main.pause(50);
			}
			Main.pause(2_000);
			synchronized (this.crashes) {
				Main.log("%d crashes, %d requests with the part reached workers; sound requests: %d served, %d not",
						this.crashes.size(), this.poisonArrivals.size(), this.served.get(), this.refused.get());
				if (this.crashes.size() < 5) {
					return trouble ? Main.COULD_NOT_RUN : Main.HELD;
				}
				long from = this.crashes.get(4) + CONTACT_MILLISECONDS;
				long late = this.poisonArrivals.stream().filter((time) -> time > from).count();
				Main.log("the fifth crash was at %d ms; %d requests with the part reached workers later than %d ms; allowed %d",
						this.crashes.get(4), late, from, ALLOWED);
				return (late > ALLOWED) ? Main.BROKEN : Main.HELD;
			}
		}
		finally {
			for (AutoCloseable one : open) {
				one.close();
			}
		}
	}

	/** Sound requests share the key and all parts but the last and the poisonous one. */
	private static String parts(String id, boolean poison) {
		StringBuilder parts = new StringBuilder();
		for (int index = 0; index < POSITION + 3; index++) {
			parts.append((poison && index == POSITION) ? POISON : "5c1e%04x".formatted(index)).append(":10,");
		}
		return parts.append(Integer.toHexString(id.hashCode())).append(":20").toString();
	}

	private void ask(Daemon daemon, String id, boolean poison) {
		int status = 0;
		try {
			Http.Message answer = Http.call(daemon.callers, "POST", "/hint/" + id,
					Map.of("Host", Config.HOST, "X-Masticshelf-Request-Id", id, "X-Masticshelf-Deadline-Ms", "8000",
							"X-Masticshelf-Model", "m0", "X-Masticshelf-Token-Count", "710,40",
							"X-Masticshelf-Prompt-Prefix", parts(id, poison), "Authorization", "Token " + Config.KEY,
							"Connection", "close"),
					id.getBytes(StandardCharsets.UTF_8), 9_000);
			status = answer.status();
		}
		catch (IOException | RuntimeException ex) {
			status = 0;
		}
		Main.log("request %s at %s%s: %s", id, daemon.name, poison ? ", with the part" : "",
				(status > 0) ? "answered " + status : "no complete answer");
		if (!poison) {
			((status == 200) ? this.served : this.refused).incrementAndGet();
		}
	}

	/** A model worker that comes back after a crash, under a new id at its address. */
	private final class ModelWorker implements AutoCloseable {

		private final Store store;

		private final String name;

		private final String zone;

		private final String host;

		private Http.Server server;

		private int port;

		private int boot;

		private long born;

		private long wroteAt;

		private int sequence;

		private volatile long downUntil;

		private volatile boolean closed;

		private ModelWorker(Store store, String name, String zone, String host) throws IOException {
			this.store = store;
			this.name = name;
			this.zone = zone;
			this.host = host;
			start();
			Thread.ofPlatform().daemon(true).start(this::run);
		}

		private synchronized void start() throws IOException {
			this.boot++;
			this.born = System.currentTimeMillis();
			this.sequence = 0;
			this.downUntil = 0;
			this.server = new Http.Server(this.host, this.port, this::serve);
			String address = this.server.address();
			this.port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
			beat();
		}

		private String id() {
			return this.name + "-" + this.boot;
		}

		private void run() {
			while (!this.closed) {
				try {
					synchronized (this) {
						if (this.downUntil > 0 && Store.now() >= this.downUntil) {
							this.store.remove("servers/" + id());
							start();
						}
						else if (this.downUntil == 0
								&& Store.now() - this.wroteAt >= Worker.HEARTBEAT_MILLISECONDS) {
							beat();
						}
					}
				}
				catch (IOException ex) {
					Main.log("%s: %s", this.name, ex);
				}
				Main.pause(20);
			}
		}

		private void beat() {
			this.wroteAt = Store.now();
			ObjectNode entry = Store.MAPPER.createObjectNode()
				.put("service", "design-llm")
				.put("address", this.host + ":" + this.port)
				.put("zone", this.zone)
				.put("version", "v1")
				.put("slots", 64)
				.put("state", "ready")
				.put("coldRemainingMs", 0)
				.put("stage", "colocated")
				.put("born", this.born);
			models(entry);
			entry.put("sequence", ++this.sequence);
			this.store.put("servers/" + id(), Store.bytes(entry));
		}

		private void models(ObjectNode node) {
			node.putArray("models").addObject().put("name", "m0").put("version", 1).putArray("adapters");
		}

		private void serve(Http.Message request, Http.Reply reply) throws Exception {
			if (request.target().startsWith("/report")) {
				ObjectNode report = Store.MAPPER.createObjectNode().put("stage", "colocated").put("born", this.born);
				models(report);
				report.put("busy", false)
					.put("sequence", 0)
					.put("waiting", 0)
					.put("running", 0)
					.put("kvUsed", 0)
					.put("kvTotal", 141_754)
					.put("handles", 0);
				reply.send(200, Map.of("Content-Type", "application/json"), Store.bytes(report));
				return;
			}
			String id = String.valueOf(request.header("X-Masticshelf-Request-Id"));
			if (!id().equals(request.header("X-Masticshelf-Target-Instance"))) {
				reply.send(421, Map.of("X-Masticshelf-Request-Id", id), new byte[0]);
				return;
			}
			boolean poison = String.valueOf(request.header("X-Masticshelf-Prompt-Prefix")).contains(POISON + ":");
			Main.log("request %s%s at %s", id, poison ? " with the part" : "", id());
			if (poison) {
				synchronized (Case12.this.crashes) {
					Case12.this.poisonArrivals.add(Main.elapsed());
				}
			}
			Main.pause(40);
			OutputStream out = reply.out;
			out.write(("HTTP/1.1 200 OK\r\nX-Masticshelf-Request-Id: " + id + "\r\nX-Masticshelf-Server-Signature: sign."
					+ id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			if (poison) {
				crash();
				return;
			}
			for (int event = 1; event <= 5; event++) {
				String text = "id: " + event + "\ndata: word\n\n";
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
				out.flush();
				Main.pause(20);
			}
			out.write("0\r\n\r\n".getBytes());
			out.flush();
		}

		private void crash() {
			synchronized (this) {
				if (this.downUntil > 0) {
					return;
				}
				this.downUntil = Store.now() + BACK_AFTER_MILLISECONDS;
				this.server.close();
			}
			synchronized (Case12.this.crashes) {
				Case12.this.crashes.add(Main.elapsed());
			}
			Main.log("%s crashes", id());
		}

		@Override
		public void close() {
			this.closed = true;
			synchronized (this) {
				this.server.close();
			}
		}

	}

}
