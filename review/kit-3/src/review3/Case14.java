package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Requesters send bodies that the limits of the desired state allow. */
final class Case14 implements Main.Case {

	private static final int REQUESTS = 40;

	/** More than 5 + one in 500 of all requests break the rule. */
	private static final double ALLOWED = 5 + REQUESTS / 500.0;

	@Override
	public int run(boolean trouble, Path folder) throws Exception {
		int bytes = trouble ? 3_000_000 : 1_000_000;
		List<AutoCloseable> open = new ArrayList<>();
		AtomicInteger ran = new AtomicInteger();
		try (Store store = new Store()) {
			store.put("op/config",
					new Config().service("order-desk", 100)
						.route("order", "/order/", "unsafe", "order-desk", 1, 2_500)
						.encode(7));
			for (int index = 0; index < 3; index++) {
				open.add(new Worker(store, "i-worker" + index, "order-desk", "test-" + (char) ('a' + index % 3), 6,
						"127.0.3." + (index + 1), (request, reply) -> {
							String id = String.valueOf(request.header("X-Masticshelf-Request-Id"));
							Main.log("  request %s run, %d bytes", id, request.body().length);
							ran.incrementAndGet();
							Main.pause(40);
							reply.send(200, Map.of("X-Masticshelf-Request-Id", id, "X-Masticshelf-Server-Signature",
									"sign." + id), "done".getBytes(StandardCharsets.UTF_8));
						}));
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
			Main.pause(4_000);
			int refused = 0;
			int served = 0;
			for (int index = 0; index < REQUESTS; index++) {
				String id = "order%03d".formatted(index);
				int status = send(daemons.get(index % 2).callers, id, bytes);
				Main.log("  request %s with a body of %d bytes: %s", id, bytes,
						(status > 0) ? "answered " + status : "the channel was closed");
				refused += (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) ? 1 : 0;
				served += (status == 200) ? 1 : 0;
			}
			Main.log("%d requests of %d bytes each, maxBodyBytes 4194304: %d served, %d run, %d ended with a 4xx; allowed %.2f",
					REQUESTS, bytes, served, ran.get(), refused, ALLOWED);
			return (refused > ALLOWED) ? Main.BROKEN : Main.HELD;
		}
		finally {
			for (AutoCloseable one : open) {
				one.close();
			}
		}
	}

	/** Sends one request; the answer is read also if it comes before all is sent. */
	private static int send(String address, String id, int bytes) throws IOException {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
					Integer.parseInt(address.substring(colon + 1))), 1_000);
			socket.setSoTimeout(3_000);
			String head = "POST /order/" + id + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\nX-Masticshelf-Request-Id: "
					+ id + "\r\nX-Masticshelf-Deadline-Ms: 2500\r\nAuthorization: Token " + Config.KEY
					+ "\r\nContent-Length: " + bytes + "\r\n\r\n";
			socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			try {
				byte[] piece = new byte[50_000];
				for (int sent = 0; sent < bytes; sent += piece.length) {
					if (sent == 0) {
						Main.pause(50);
					}
					if (socket.getInputStream().available() > 0) {
						break;
					}
					socket.getOutputStream().write(piece);
				}
			}
			catch (IOException ex) {
				// The daemon reads no more; its answer may have arrived.
			}
			Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
			return (answer != null) ? answer.status() : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
