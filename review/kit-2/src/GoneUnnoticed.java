import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * DRAIN: the open channels to the store go silent, and a worker leaves without having reported that it drains.
 */
final class GoneUnnoticed {

	private static final double CONTACT_SECONDS = 3.0;

	private static final double DRAIN_SECONDS = 2.0;

	/** How long the worker serves after its entry is gone: drainMs and a little longer. */
	private static final long SERVES_MILLISECONDS = 4_500;

	private record Arrival(String worker, String identifier, double at) {
	}

	private GoneUnnoticed() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("gone-unnoticed");
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
		List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
		Map<String, Double> sent = new ConcurrentHashMap<>();
		Map<String, String> answers = new ConcurrentHashMap<>();
		try (Store store = new Store("127.0.0.1", record);
				Daemons daemons = new Daemons(root, folder, record, store.port(), "sofia-a", "sofia-b")) {
			store.put("op/config", Worker.desiredState(7, 2, 1_200));
			List<Worker> workers = new ArrayList<>();
			for (int index = 0; index < 3; index++) {
				workers.add(new Worker(store, record, "i-desk" + index, "order-desk", "sofia-" + "abc".charAt(index), 6, null,
						(worker, request, out, socket) -> run(worker, request, out, record, arrivals)));
			}
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
			}
			daemons.awaitReady(20);
			Thread.sleep(5_000);
			List<Thread> threads = new ArrayList<>();
			long until = System.nanoTime() + 12_000_000_000L;
			for (int caller = 0; caller < 8; caller++) {
				Daemons.Machine machine = daemons.machines.get(caller % 2);
				int number = caller;
				threads.add(Thread.ofPlatform().daemon(true).start(() -> call(machine, number, until, record, sent, answers)));
			}
			Thread.sleep(2_000);
			double silence = record.seconds();
			if (trouble) {
				record.say("the open channels to the store go silent");
				store.silenceChannels();
			}
			Thread.sleep(200);
			Worker leaving = workers.getFirst();
			double ack = record.seconds();
			leaving.leave();
			Thread.sleep(SERVES_MILLISECONDS);
			record.note(leaving.identifier + ": exits");
			leaving.close();
			for (Thread thread : threads) {
				thread.join();
			}
			// Taken from the requester and sent on by machines in touch, later than drainMs after the ack.
			int late = 0;
			int lost = 0;
			for (Arrival arrival : arrivals) {
				Double taken = sent.get(arrival.identifier());
				boolean inTouch = !trouble || taken > silence + CONTACT_SECONDS;
				if (arrival.worker().equals(leaving.identifier) && inTouch && arrival.at() > ack + DRAIN_SECONDS) {
					late++;
					String answer = answers.getOrDefault(arrival.identifier(), "none");
					lost += answer.startsWith("status 200") ? 0 : 1;
					record.note("late: " + arrival + ", " + Math.round(1_000 * (arrival.at() - ack)) + " ms after the ack, "
							+ Math.round(1_000 * (taken - silence)) + " ms after the silence: " + answer);
				}
			}
			record.say(late + " unsafe calls reached the worker later than drainMs after the ack, " + lost
					+ " of them were lost as it exited: DRAIN " + ((late > 0) ? "was broken" : "held"));
			return (late > 0) ? 1 : 0;
		}
	}

	private static void call(Daemons.Machine machine, int number, long until, Record record, Map<String, Double> sent,
			Map<String, String> answers) {
		for (int count = 0; System.nanoTime() < until; count++) {
			String identifier = "r" + number + "-" + count;
			try (Client client = new Client(machine.address, machine.front())) {
				sent.put(identifier, record.seconds());
				client.send("POST", "/stitch/x", identifier, 2_500, "", new byte[600]);
				Client.Answer answer = client.receive(2_500);
				answers.put(identifier, answer.toString());
				record.note(machine.name + ": " + identifier + ": " + answer);
				Thread.sleep(50);
			}
			catch (Exception ex) {
				record.note(machine.name + ": " + identifier + ": " + ex);
			}
		}
	}

	private static boolean run(Worker worker, Web.Request request, OutputStream out, Record record, List<Arrival> arrivals)
			throws Exception {
		arrivals.add(new Arrival(worker.identifier, request.headers().get("x-masticshelf-request-id"), record.seconds()));
		Thread.sleep(150);
		Web.answer(out, 200, worker.signed(request), "done".getBytes());
		return true;
	}

}
