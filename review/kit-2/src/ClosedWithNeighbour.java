import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * LOST: requesters whose streams do not begin abandon them, and the streams of other requesters are cut while the machine
 * is being stopped.
 */
final class ClosedWithNeighbour {

	private static final int PAIRS = 8;

	/** Whether requests with "a" wait for a place at the worker that does not turn them away. */
	private static boolean slow;

	private ClosedWithNeighbour() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		slow = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("closed-with-neighbour");
		int status = 2;
		try (Record record = new Record(Path.of(arguments[1]))) {
			status = play(root, folder, record);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int play(Path root, Path folder, Record record) throws Exception {
		try (Store store = new Store("127.0.0.1", record);
				Daemons daemons = new Daemons(root, folder, record, store.port(), "sofia-a", "sofia-b")) {
			ObjectNode state = (ObjectNode) Store.JSON.readTree(Worker.desiredState(7, 2, 1_200));
			// As the other drafts: a resumable stream that may be sent twice.
			((ObjectNode) state.path("routes").get(1)).put("targetLatencyMs", 500).put("timeoutMs", 15_000);
			store.put("op/config", state.toString());
			for (int index = 0; index < 2; index++) {
				new Worker(store, record, "i-engine" + index, "design-llm", "sofia-" + "ab".charAt(index), 64, Set.of("m0"),
						(worker, request, out, socket) -> run(worker, request, out, socket, record));
			}
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
			}
			daemons.awaitReady(20);
			// Longer than contactMs, and until the placement has settled.
			Thread.sleep(5_000);
			Daemons.Machine machine = daemons.machines.getFirst();
			List<Thread> threads = new ArrayList<>();
			for (int pair = 0; pair < PAIRS; pair++) {
				String identifier = "a" + pair;
				threads.add(Thread.ofPlatform().daemon(true).start(() -> {
					// Requesters abandon a stream that does not begin after two seconds here.
					Client.Answer answer = send(machine, "/bulk/x", identifier, 2_000, record);
					record.note("requester of " + identifier + ": " + answer);
				}));
			}
			Thread.sleep(300);
			List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());
			for (int pair = 0; pair < PAIRS; pair++) {
				String identifier = "b" + pair;
				threads.add(Thread.ofPlatform().daemon(true).start(() -> {
					Client.Answer answer = send(machine, "/crest/x", identifier, 15_000, record);
					record.note("requester of " + identifier + ": " + answer);
					answers.add(answer);
				}));
			}
			Thread.sleep(300);
			machine.signal("TERM");
			for (Thread thread : threads) {
				thread.join();
			}
			long cut = answers.stream().filter((answer) -> !answer.complete()).count();
			record.say(PAIRS + " streams whose requesters waited, " + cut + " of them ended without a complete answer: LOST "
					+ ((cut > 0) ? "was broken" : "held"));
			return (answers.size() < PAIRS) ? 2 : (cut > 0) ? 1 : 0;
		}
	}

	private static Client.Answer send(Daemons.Machine machine, String target, String identifier, long milliseconds,
			Record record) {
		try (Client client = new Client(machine.address, machine.front())) {
			record.note("requester of " + identifier + ": sends");
			client.send("POST", target, identifier, 15_000,
					"X-Masticshelf-Model: m0\r\nX-Masticshelf-Token-Count: 100,10\r\nX-Masticshelf-Prompt-Prefix: 5c1e07a2:80,"
							+ identifier + ":20\r\n",
					new byte[2_000]);
			return client.receive(milliseconds);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean run(Worker worker, Web.Request request, OutputStream out, Socket socket, Record record)
			throws Exception {
		String identifier = request.headers().get("x-masticshelf-request-id");
		boolean waits = identifier.startsWith("a");
		record.note(worker.identifier + ": gets " + identifier + " on channel " + socket.getPort());
		if (waits && worker.identifier.equals("i-engine0")) {
			// Full at this moment: not run.
			Web.answer(out, 503, Worker.header(request) + "X-Masticshelf-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n",
					new byte[0]);
			return true;
		}
		if (waits && slow) {
			// Waits for a place; the channel closes once the requester has gone.
			socket.setSoTimeout(10_000);
			int end = socket.getInputStream().read();
			record.note(worker.identifier + ": " + identifier + " has gone (" + end + ")");
			return false;
		}
		out.write(("HTTP/1.1 200 OK\r\n" + worker.signed(request)
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n\r\n")
			.getBytes());
		for (int event = 1; event <= 20; event++) {
			Thread.sleep(waits ? 20 : 150);
			String text = "id: " + event + "\ndata: piece" + event + "\n\n";
			try {
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
				out.flush();
			}
			catch (java.io.IOException ex) {
				record.note(worker.identifier + ": channel " + socket.getPort() + " of " + identifier
						+ " was closed before event " + event);
				throw ex;
			}
		}
		out.write("0\r\n\r\n".getBytes());
		out.flush();
		return true;
	}

}
