import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A model worker in trouble sends bodies without end; the other workers are sound. */
final class EndlessBody {

	private static final int CALLERS = 96;

	/** What the worker in trouble sends on one channel, well below its link in sum. */
	private static final int BYTES_PER_SECOND = 2_500_000;

	private static final int TIMEOUT_MILLISECONDS = 15_000;

	private static volatile boolean inTrouble;

	private EndlessBody() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("endless-body");
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
			new Worker(store, record, "i-engine0", "design-llm", "sofia-a", 64, Set.of("m0"), EndlessBody::stream);
			new Worker(store, record, "i-engine1", "design-llm", "sofia-b", 64, Set.of("m0"), EndlessBody::stream);
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
			}
			daemons.awaitReady(20);
			Thread.sleep(4_000);
			List<Thread> threads = new ArrayList<>();
			List<Client.Answer> drafts = Collections.synchronizedList(new ArrayList<>());
			long until = System.nanoTime() + 12_000_000_000L;
			for (int caller = 0; caller < CALLERS; caller++) {
				Daemons.Machine machine = daemons.machines.get(caller % 2);
				threads.add(Thread.ofPlatform().daemon(true).start(() -> sendDrafts(machine, record, until, drafts)));
			}
			Thread.sleep(3_000);
			if (trouble) {
				record.say("i-engine0 is in trouble: its bodies have no end");
				inTrouble = true;
			}
			Thread.sleep(6_000);
			inTrouble = false;
			record.say("i-engine0 is sound again");
			for (Thread thread : threads) {
				thread.join();
			}
			for (Daemons.Machine machine : daemons.machines) {
				record.say(machine.name + ": " + (machine.process.isAlive() ? "runs" : "has ended") + ", OutOfMemoryError in its log: "
						+ (machine.log().split("OutOfMemoryError", -1).length - 1));
			}
			return judge(drafts, record);
		}
	}

	// Of the requests that are still unanswered at their route's timeoutMs, more than half have no answer half a
	// second later. Eight are asked for, as by the other rule on timeoutMs.
	private static int judge(List<Client.Answer> drafts, Record record) {
		long late = drafts.stream().filter((draft) -> draft.tookMs() >= TIMEOUT_MILLISECONDS).count();
		long never = drafts.stream()
			.filter((draft) -> draft.tookMs() >= TIMEOUT_MILLISECONDS + 500 && draft.status() <= 0)
			.count();
		boolean broken = late >= 8 && never > late / 2.0;
		record.say(drafts.size() + " drafts, " + late + " unanswered at their route's timeoutMs, " + never
				+ " of them half a second later: CONFIG " + (broken ? "was broken" : "held"));
		return broken ? 1 : 0;
	}

	// The requester would wait for 17 s, which is longer than its route's timeoutMs.
	private static void sendDrafts(Daemons.Machine machine, Record record, long until, List<Client.Answer> answers) {
		while (System.nanoTime() < until) {
			String identifier = Long.toHexString(ThreadLocalRandom.current().nextLong());
			try (Client client = new Client(machine.address, machine.front())) {
				client.send("POST", "/crest/x", identifier, 17_000,
						"X-Masticshelf-Model: m0\r\nX-Masticshelf-Token-Count: 100,10\r\nX-Masticshelf-Prompt-Prefix: 5c1e07a2:80,"
								+ identifier + ":20\r\n",
						new byte[2_000]);
				Client.Answer answer = client.receive(17_000);
				answers.add(answer);
				record.note(machine.name + ": draft " + identifier + ": " + answer);
			}
			catch (Exception ex) {
				record.note(machine.name + ": draft " + identifier + ": " + ex);
			}
		}
	}

	static boolean stream(Worker worker, Web.Request request, OutputStream out, Socket socket) throws Exception {
		if (!inTrouble || !worker.identifier.equals("i-engine0")) {
			out.write(("HTTP/1.1 200 OK\r\n" + worker.signed(request)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes());
			for (int event = 1; event <= 20; event++) {
				Thread.sleep(50);
				String text = "id: " + event + "\ndata: piece" + event + "\n\n";
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
				out.flush();
			}
			out.write("0\r\n\r\n".getBytes());
			out.flush();
			return true;
		}
		out.write(("HTTP/1.1 200 OK\r\n" + worker.signed(request) + "\r\n").getBytes());
		byte[] piece = new byte[BYTES_PER_SECOND / 50];
		java.util.Arrays.fill(piece, (byte) 'x');
		while (true) {
			out.write(piece);
			out.flush();
			Thread.sleep(20);
		}
	}

}
