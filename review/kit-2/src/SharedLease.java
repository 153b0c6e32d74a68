import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * ONE: the platform's store comes back from a copy some seconds old. Leases given out since are gone, and the store gives
 * out their numbers again.
 */
final class SharedLease {

	private static final int MODELS = 12;

	/** How often the whole deployment is started, until the rule is broken. */
	private static final int TRIALS = 4;

	private SharedLease() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]).toAbsolutePath();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Daemons.temporaryFolder("shared-lease");
		int status = 2;
		try (Record record = new Record(Path.of(arguments[1]))) {
			// Which daemon notices the return first differs from start to start.
			status = 0;
			for (int trial = 1; trial <= TRIALS && status == 0; trial++) {
				record.say("trial " + trial);
				status = play(root, Files.createDirectory(folder.resolve("trial" + trial)), record, trouble);
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int play(Path root, Path folder, Record record, boolean trouble) throws Exception {
		try (Store store = new Store("127.0.0.1", record);
				Daemons daemons = new Daemons(root, folder, record, store.port(), "sofia-a", "sofia-a", "sofia-b",
						"sofia-c")) {
			store.put("op/config", Worker.desiredState(7, MODELS, 1_200));
			List<Worker> workers = new ArrayList<>();
			for (int index = 0; index < 4; index++) {
				workers.add(new Worker(store, record, "i-engine" + index, "design-llm", "sofia-" + "abc".charAt(index % 3), 64,
						Set.of("m" + index), SharedLease::stream));
			}
			workers.add(new Worker(store, record, "i-desk", "order-desk", "sofia-a", 6, null, SharedLease::plain));
			// The copy from which the store will come back is from now.
			Store.Copy copy = store.copy();
			double copied = record.seconds();
			for (Daemons.Machine machine : daemons.machines) {
				machine.start();
				Thread.sleep(95);
			}
			daemons.awaitReady(20);
			record.note("all daemons are ready");
			Thread.sleep(2_500);
			if (trouble) {
				long lease = store.leaseOf("masticshelf/duty/serving/place");
				record.note("store: away, the duty is held under lease " + lease);
				store.goAway();
				Thread.sleep(500);
				// It returns between the renewal of that lease and those of the other daemons, each once a second.
				store.awaitRenewal(lease, 1_500);
				store.comeBack(copy);
				record.say("the copy was " + Math.round(10 * (record.seconds() - copied)) / 10.0 + " s old");
			}
			// Longer than the leases from before the return may last, and the settling of a new holder.
			Thread.sleep(6_000);
			double from = record.seconds();
			askForModels(daemons, record, 8);
			Thread.sleep(1_000);
			return judge(workers, record, from);
		}
		finally {
			try (var logs = Files.list(folder)) {
				for (Path log : logs.filter((file) -> file.toString().endsWith(".log")).sorted().toList()) {
					for (String line : Files.readAllLines(log)) {
						if (line.contains("lease.") || line.contains("duty.") || line.contains("store.")) {
							record.note(log.getFileName() + ": " + line);
						}
					}
				}
			}
		}
	}

	// Requests for models at random, at all daemons: some of them must be loaded.
	private static void askForModels(Daemons daemons, Record record, int seconds) throws Exception {
		List<Thread> threads = new ArrayList<>();
		long until = System.nanoTime() + seconds * 1_000_000_000L;
		for (Daemons.Machine machine : daemons.machines) {
			for (int caller = 0; caller < 3; caller++) {
				threads.add(Thread.ofPlatform().daemon(true).start(() -> {
					while (System.nanoTime() < until) {
						String model = "m" + ThreadLocalRandom.current().nextInt(MODELS);
						String identifier = Long.toHexString(ThreadLocalRandom.current().nextLong());
						try (Client client = new Client(machine.address, machine.front())) {
							client.send("POST", "/bulk/x", identifier, 5_000,
									"X-Masticshelf-Model: " + model
											+ "\r\nX-Masticshelf-Token-Count: 100,10\r\nX-Masticshelf-Prompt-Prefix: 5c1e07a2:80,"
											+ identifier + ":20\r\n",
									new byte[10]);
							record.note(machine.name + ": " + identifier + " for " + model + ": " + client.receive(5_000));
							Thread.sleep(200);
						}
						catch (Exception ex) {
							record.note(machine.name + ": " + identifier + ": " + ex);
						}
					}
				}));
			}
		}
		for (Thread thread : threads) {
			thread.join();
		}
	}

	private static int judge(List<Worker> workers, Record record, double from) {
		boolean broken = false;
		int orders = 0;
		for (Worker worker : workers) {
			List<Worker.Order> all = worker.orders();
			orders += all.size();
			Map<Long, Set<String>> holders = Worker.holders(all);
			for (Map.Entry<Long, Set<String>> number : holders.entrySet()) {
				if (number.getValue().size() > 1) {
					broken = true;
					record.say("BROKEN: " + worker.identifier + " got orders with the generation number " + number.getKey()
							+ " from " + number.getValue());
				}
			}
			// Holders that take turns within leaseTtlMs.
			for (int index = 2; index < all.size(); index++) {
				Worker.Order first = all.get(index - 2);
				Worker.Order second = all.get(index - 1);
				Worker.Order third = all.get(index);
				if (!first.holder().equals(second.holder()) && first.holder().equals(third.holder())
						&& third.at() - first.at() < 3.0) {
					broken = true;
					record.say("BROKEN: holders take turns at " + worker.identifier + ": " + first + ", " + second + ", " + third);
					break;
				}
			}
		}
		record.say(orders + " orders arrived, " + (broken ? "ONE was broken" : "ONE held"));
		return broken ? 1 : 0;
	}

	static boolean stream(Worker worker, Web.Request request, java.io.OutputStream out, java.net.Socket socket)
			throws Exception {
		out.write(("HTTP/1.1 200 OK\r\n" + worker.signed(request)
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			.getBytes());
		for (int event = 1; event <= 5; event++) {
			Thread.sleep(20);
			String text = "id: " + event + "\ndata: piece" + event + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes());
		out.flush();
		return true;
	}

	static boolean plain(Worker worker, Web.Request request, java.io.OutputStream out, java.net.Socket socket)
			throws Exception {
		Thread.sleep(30);
		Web.answer(out, 200, worker.signed(request), "done".getBytes());
		return true;
	}

}
