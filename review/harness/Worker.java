import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of a worker, as PROTOCOL.md describes it. */
class Worker implements AutoCloseable {

	static final String SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1";

	final String id;

	final String service;

	final String zone;

	final int slots;

	final long born = System.currentTimeMillis();

	final ServerSocket listening;

	final Record record;

	final boolean engine;

	final Set<String> models = new TreeSet<>();

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private long sequence;

	private volatile boolean busy;

	private volatile Thread beats;

	volatile String state = "ready";

	long loadMilliseconds = 6_000;


	

	Worker(String id, String service, String zone, int slots, boolean engine, List<String> models, Record record)
			throws IOException {
		this(id, service, zone, slots, engine, models, record, 0);
	}

	Worker(String id, String service, String zone, int slots, boolean engine, List<String> models, Record record,
			int port) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.engine = engine;
		this.models.addAll(models);
		this.record = record;
		ServerSocketChannel channel = ServerSocketChannel.open();
		limitSegments(channel);
		channel.setOption(StandardSocketOptions.SO_RCVBUF, 64 * 1024);
		channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		channel.bind(new InetSocketAddress("127.0.0.1", port), 256);
		this.listening = channel.socket();
		Thread.ofVirtual().start(this::accept);
	}

	/**
	 * Asks for segments of 1,460 bytes, as on a network between machines. The loopback device has segments of 64 KB, for
	 * which the kernel buffers megabytes that a peer hasn't read; links "have small windows" (DEPLOY.md).
	 */
	private static void limitSegments(ServerSocketChannel channel) {
		try {
			Field descriptor = channel.getClass().getDeclaredField("fd");
			descriptor.setAccessible(true);
			Method set = Class.forName("sun.nio.ch.Net")
				.getDeclaredMethod("setIntOption0", FileDescriptor.class, boolean.class, int.class, int.class, int.class,
						boolean.class);
			set.setAccessible(true);
			set.invoke(null, descriptor.get(channel), false, 6, 2, 1_460, false);
		}
		catch (ReflectiveOperationException | RuntimeException ex) {
			throw new IllegalStateException("the size of segments can't be set: " + ex, ex);
		}
	}

	String address() {
		return "127.0.0.1:" + this.listening.getLocalPort();
	}

	synchronized String entry(long beat) {
		StringBuilder text = new StringBuilder("{\"service\":\"").append(this.service)
			.append("\",\"address\":\"")
			.append(address())
			.append("\",\"zone\":\"")
			.append(this.zone)
			.append("\",\"version\":\"v1\",\"slots\":")
			.append(this.slots)
			.append(",\"state\":\"")
			.append(this.state)
			.append("\",\"coldRemainingMs\":0,\"born\":")
			.append(this.born)
			.append(",\"sequence\":")
			.append(beat);
		if (this.engine) {
			text.append(",\"stage\":\"colocated\",\"models\":").append(modelsJson());
		}
		return text.append("}").toString();
	}

	private String modelsJson() {
		return "[" + String.join(",",
				this.models.stream().map((name) -> "{\"name\":\"" + name + "\",\"version\":1,\"adapters\":[]}").toList())
				+ "]";
	}

	/** Registers in the store, and again at each beat. */
	void register(Store store) {
		store.put("servers/" + this.id, entry(1));
		this.beats = Thread.ofVirtual().start(() -> {
			for (long beat = 2;; beat++) {
				try {
					Thread.sleep(1_200);
				}
				catch (InterruptedException ex) {
					return;
				}
				store.put("servers/" + this.id, entry(beat));
			}
		});
	}

	/** Ends the beats. */
	void silence() {
		Thread running = this.beats;
		if (running != null) {
			running.interrupt();
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listening.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			while (true) {
				Http.Head head = Http.readHead(in);
				if (head == null) {
					return;
				}
				String target = head.header("X-Masticshelf-Target-Instance");
				if (target != null && !target.equals(this.id)) {
					Http.readBody(in, head);
					answer(out, 421, "X-Masticshelf-Instance-Id: " + this.id + "\r\n", new byte[0]);
					continue;
				}
				if (head.target().equals("/report") && this.engine) {
					Http.readBody(in, head);
					answer(out, 200, "Content-Type: application/json\r\n", report().getBytes(StandardCharsets.UTF_8));
					continue;
				}
				if (head.target().equals("/order") && this.engine) {
					order(Store.JSON.readTree(Http.readBody(in, head)), out);
					continue;
				}
				if (!request(head, in, out, socket)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller has closed.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private synchronized String report() {
		return "{\"stage\":\"colocated\",\"models\":" + modelsJson() + ",\"busy\":" + this.busy + ",\"sequence\":"
				+ this.sequence + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":141754,\"handles\":0}";
	}

	private void order(com.fasterxml.jackson.databind.JsonNode order, OutputStream out) throws IOException {
		int status;
		String model = order.path("model").asText();
		boolean load = order.path("op").asText().equals("load");
		synchronized (this) {
			boolean holds = this.models.contains(model) == load;
			if (this.busy || (order.has("expected") && order.path("expected").asLong() != this.sequence)) {
				status = 409;
			}
			else if (holds) {
				status = 200;
			}
			else {
				status = 202;
				this.sequence++;
				if (load) {
					this.busy = true;
					Thread.ofVirtual().start(() -> {
						sleep(this.loadMilliseconds);
						synchronized (this) {
							this.models.add(model);
							this.busy = false;
						}
					});
				}
				else {
					this.models.remove(model);
				}
			}
		}
		this.record.line("worker %s: order %s %s of holder %s, token %s, expected %s: %d", this.id,
				order.path("op").asText(), model, order.path("holder").asText(), order.path("fencingToken").asText(),
				order.path("expected").asText(), status);
		ordered(Record.now(), order.path("holder").asText(), order.path("fencingToken").asLong());
		answer(out, status, "", new byte[0]);
	}

	/** Called with each order that arrives. */
	void ordered(long at, String holder, long token) {
	}

	static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Serves a request that was sent by the system: 43 ms of work and 800 bytes.
	 * @return whether the channel is kept
	 */
	boolean request(Http.Head head, InputStream in, OutputStream out, Socket socket) throws IOException {
		byte[] body = Http.readBody(in, head);
		ran(head, body);
		sleep(43);
		answer(out, 200, echo(head), new byte[800]);
		return true;
	}

	void ran(Http.Head head, byte[] body) {
		this.record.line("worker %s: runs %s, %d bytes", this.id, head.header("X-Masticshelf-Request-Id"), body.length);
	}

	static String echo(Http.Head head) {
		return "X-Masticshelf-Request-Id: " + head.header("X-Masticshelf-Request-Id")
				+ "\r\nX-Masticshelf-Server-Signature: " + SIGNATURE + "\r\n";
	}

	static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
		byte[] head = ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[head.length + body.length];
		System.arraycopy(head, 0, all, 0, head.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		out.write(all);
		out.flush();
	}

	/** Answers with a stream of events, one each gap. */
	static void stream(Http.Head head, OutputStream out, int events, long gapMilliseconds) throws IOException {
		out.write(("HTTP/1.1 200 OK\r\n" + echo(head)
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = 1; event <= events; event++) {
			byte[] text = ("id: " + event + "\ndata: thread colour " + event + "\n\n").getBytes(StandardCharsets.US_ASCII);
			out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.write(text);
			out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
			out.flush();
			sleep(gapMilliseconds);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	@Override
	public void close() throws IOException {
		silence();
		this.listening.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}
