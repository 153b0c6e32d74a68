import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** MIXED: a worker spoils a byte in the heads of some of its answers. */
final class SpoiltHead {

	private static final int REQUESTS = 1_500;

	private static final double SPOILT = 0.02;

	private SpoiltHead() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("spoilt-head");
		int status = 2;
		try (Record record = new Record(Path.of(arguments[1]))) {
			status = play(root, folder, record, trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int play(Path root, Path folder, Record record, boolean trouble) throws Exception {
		try (Store store = new Store("127.0.0.1", record);
				Daemons daemons = new Daemons(root, folder, record, store.port(), "sofia-a", "sofia-b")) {
			store.put("op/config", Worker.desiredState(7, 2, 1_200));
			new Worker(store, record, "i-desk0", "order-desk", "sofia-a", 6, null,
					(worker, request, out, socket) -> run(worker, request, out, record, trouble));
			new Worker(store, record, "i-desk1", "order-desk", "sofia-b", 6, null,
					(worker, request, out, socket) -> run(worker, request, out, record, false));
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
			}
			daemons.awaitReady(20);
			Thread.sleep(3_500);
			int unsigned = 0;
			for (int number = 0; number < REQUESTS; number++) {
				Daemons.Machine machine = daemons.machines.get(number % 2);
				String identifier = "r" + number;
				try (Client client = new Client(machine.address, machine.front())) {
					client.send("GET", "/stock/x", identifier, 2_500, "", new byte[0]);
					Client.Answer answer = client.receive(2_500);
					record.note(identifier + ": " + answer + " " + answer.headers());
					boolean success = answer.status() >= 200 && answer.status() < 300;
					if (success && !answer.headers().containsKey("x-masticshelf-server-signature")) {
						unsigned++;
						record.note(identifier + ": BROKEN, a success without the worker's signature");
					}
				}
			}
			record.say(unsigned + " successes without the worker's signature: MIXED " + ((unsigned > 0) ? "was broken" : "held"));
			return (unsigned > 0) ? 1 : 0;
		}
	}

	private static boolean run(Worker worker, Web.Request request, OutputStream out, Record record, boolean trouble)
			throws Exception {
		String head = "HTTP/1.1 200 OK\r\nDate: now\r\nX-Request-Cost: 12\r\n" + worker.signed(request) + "Content-Length: 4\r\n\r\n";
		byte[] answer = (head + "done").getBytes(StandardCharsets.ISO_8859_1);
		if (trouble && ThreadLocalRandom.current().nextDouble() < SPOILT) {
			int at = head.indexOf("Request-Cost") + 3;
			answer[at] = '\r';
			record.note(worker.identifier + ": spoils byte " + at + " of its answer to "
					+ request.headers().get("x-masticshelf-request-id"));
		}
		out.write(answer);
		out.flush();
		return true;
	}

}
