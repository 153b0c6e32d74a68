import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

/** ROUTE: another writer writes entries of workers with a field missing, which name another service. */
final class PartialEntry {

	private PartialEntry() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("partial-entry");
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
		List<String> wrong = Collections.synchronizedList(new ArrayList<>());
		try (Store store = new Store("127.0.0.1", record);
				Daemons daemons = new Daemons(root, folder, record, store.port(), "sofia-a", "sofia-b")) {
			store.put("op/config", Worker.desiredState(7, 2, 1_200));
			List<Worker> engines = new ArrayList<>();
			for (int index = 0; index < 2; index++) {
				engines.add(new Worker(store, record, "i-engine" + index, "design-llm", "sofia-" + "ab".charAt(index), 64,
						Set.of("m0"), (worker, request, out, socket) -> run(worker, request, out, socket, record, wrong)));
			}
			new Worker(store, record, "i-desk0", "order-desk", "sofia-a", 6, null, PartialEntry::plain);
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
			}
			daemons.awaitReady(20);
			Thread.sleep(4_000);
			for (int number = 0; number < 300; number++) {
				if (trouble && number % 60 == 30) {
					Worker engine = engines.get(number / 60 % 2);
					store.put("servers/" + engine.identifier, engine.entry("order-desk", "version"));
					record.note("another writer: an entry without version for " + engine.identifier + ", which names order-desk");
				}
				Daemons.Machine machine = daemons.machines.get(number % 2);
				String identifier = "r" + number;
				try (Client client = new Client(machine.address, machine.front())) {
					client.send("POST", "/stitch/x", identifier, 2_500, "", new byte[20]);
					record.note(identifier + ": " + client.receive(2_500));
				}
				Thread.sleep(20);
			}
			record.say(wrong.size() + " stitch orders were run by workers of design-llm: ROUTE "
					+ (wrong.isEmpty() ? "held" : "was broken"));
			return wrong.isEmpty() ? 0 : 1;
		}
	}

	private static boolean run(Worker worker, Web.Request request, OutputStream out, Socket socket, Record record,
			List<String> wrong) throws Exception {
		if (request.path().startsWith("/stitch/")) {
			String identifier = request.headers().get("x-masticshelf-request-id");
			record.note(worker.identifier + " of design-llm: runs " + identifier + " " + request.path());
			wrong.add(identifier);
		}
		Web.answer(out, 200, worker.signed(request), "done".getBytes());
		return true;
	}

	private static boolean plain(Worker worker, Web.Request request, OutputStream out, Socket socket) throws Exception {
		Thread.sleep(30);
		Web.answer(out, 200, worker.signed(request), "done".getBytes());
		return true;
	}

}
