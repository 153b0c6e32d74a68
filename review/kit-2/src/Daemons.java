import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the project's program with the command of the deploy file, one process a machine. */
final class Daemons implements AutoCloseable {

	/** One machine: its own loopback address and the ports that all machines share. */
	final class Machine {

		final String name;

		final String address;

		final String zone;

		Process process;

		private int starts;

		Machine(String name, String address, String zone) {
			this.name = name;
			this.address = address;
			this.zone = zone;
		}

		int front() {
			return Daemons.this.front;
		}

		void start() throws IOException {
			Path file = Daemons.this.folder.resolve(this.name + ".yaml");
			Files.writeString(file, settings(this));
			ProcessBuilder builder = new ProcessBuilder(Daemons.this.command);
			builder.directory(Daemons.this.root.toFile());
			Map<String, String> environment = builder.environment();
			Map<String, String> kept = Map.copyOf(environment);
			environment.clear();
			for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
				if (kept.containsKey(variable)) {
					environment.put(variable, kept.get(variable));
				}
			}
			environment.put("MASTICSHELF_NODE_FILE", file.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(new File(Daemons.this.folder.toFile(), this.name + "-" + this.starts++ + ".log"));
			this.process = builder.start();
			Daemons.this.record.note(this.name + ": started as process " + this.process.pid());
		}

		void signal(String name) throws Exception {
			Daemons.this.record.note(this.name + ": gets " + name);
			new ProcessBuilder("bash", "-c", "kill -" + name + " " + this.process.pid()).start().waitFor();
		}

		boolean isReady() {
			try {
				HttpURLConnection call = (HttpURLConnection) URI
					.create("http://" + this.address + ":" + Daemons.this.ready + "/ready")
					.toURL()
					.openConnection();
				call.setConnectTimeout(500);
				call.setReadTimeout(500);
				return call.getResponseCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		String log() throws IOException {
			StringBuilder all = new StringBuilder();
			for (int start = 0; start < this.starts; start++) {
				all.append(Files.readString(Daemons.this.folder.resolve(this.name + "-" + start + ".log")));
			}
			return all.toString();
		}

	}

	private final Path root;

	private final Path folder;

	private final Record record;

	private final int storePort;

	private final List<String> command;

	private final int front;

	private final int ready;

	private final int control;

	private final int internal;

	final List<Machine> machines = new ArrayList<>();

	Daemons(Path root, Path folder, Record record, int storePort, String... zones) throws IOException {
		this.root = root;
		this.folder = folder;
		this.record = record;
		this.storePort = storePort;
		this.command = command(root);
		// A script that is ended leaves no process behind.
		Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
		int subnet = 20 + (int) (ProcessHandle.current().pid() % 200);
		List<String> addresses = new ArrayList<>();
		for (int index = 0; index < zones.length; index++) {
			String address = "127." + subnet + ".0." + (11 + index);
			addresses.add(address);
			this.machines.add(new Machine("front-" + zones[index] + "-" + (index + 1), address, zones[index]));
		}
		this.front = freePort(addresses);
		this.ready = freePort(addresses);
		this.control = freePort(addresses);
		this.internal = freePort(addresses);
	}

	/** Creates a folder that is deleted when the script ends. */
	static Path temporaryFolder(String prefix) throws IOException {
		Path created = Files.createTempDirectory(prefix);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			try (java.util.stream.Stream<Path> files = Files.walk(created)) {
				files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			catch (IOException | java.io.UncheckedIOException ex) {
				// What is left lies in the folder for temporary files.
			}
		}));
		return created;
	}

	private static int freePort(List<String> addresses) throws IOException {
		while (true) {
			int port;
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(addresses.getFirst(), 0));
				port = socket.getLocalPort();
			}
			boolean free = true;
			for (String address : addresses) {
				try (ServerSocket socket = new ServerSocket();
						java.net.DatagramSocket datagrams = new java.net.DatagramSocket(
								new InetSocketAddress(address, port))) {
					socket.bind(new InetSocketAddress(address, port));
				}
				catch (IOException ex) {
					free = false;
				}
			}
			if (free) {
				return port;
			}
		}
	}

	private static List<String> command(Path root) throws IOException {
		for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("no command in the deploy file");
	}

	private String settings(Machine machine) {
		return """
				nodeName: "%s"
				role: "daemon"
				machineClass: "front"
				serves:
				  - "front"
				ip: "%s"
				zone: "%s"
				region: "sofia"
				zones:
				  sofia-a: "sofia"
				  sofia-b: "sofia"
				  sofia-c: "sofia"
				listenAddrs:
				  front: "%s:%d"
				  ready: "%s:%d"
				internalPortRange:
				  - %d
				  - %d
				seeds: []
				bootstrap: true
				countsAsLoss: false
				limits:
				  cpuShare: 0.75
				  cores: 2
				  memoryMb: 560
				  maxFds: 6150
				  linkMbps: 1500.0
				  diskMb: 0
				dataDir: null
				discovery: "platform"
				entry: "vip"
				heartbeatMs: 1200
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
				faultTolerance:
				  machines: 2
				  zones: 1
				  regions: 0
				bounds:
				  seedLagS: 3
				  addrReuseS: 2
				  contactMs: 3000
				  ackTimeoutMs: 4000
				  catchUpS: 4
				  drainMs: 2000
				  graceS: 8
				  lossSlackMs: 200
				  configApplyMs: 2000
				  rollbackSlackMs: 250
				  maxSkewMs: 5000
				  strictRevoke: false
				  revokeMs: 5000
				  retryBudgetRatio: 0.2
				  budgetWindowS: 10
				  retryBudgetSlack: 54
				  quotaWindowS: 8
				  quotaOverage: 0.1
				  quotaSlack: 11000
				  recoveryS: 12
				  passMs: 120
				  retryAfterS: 0
				  fencingEnforced: false
				  leaseTtlMs: 3000
				  thawSlackMs: 300
				  ceilingWindowS: 5
				  ceilingOverage: 1.1
				platform:
				  address: "127.0.0.1:%d"
				  form: "kv"
				  writesPerS: 400
				  readsPerS: 2000
				  historyS: 20
				  valueBytes: 1048576
				  minTtlMs: 1000
				""".formatted(machine.name, machine.address, machine.zone, machine.address, this.front, machine.address,
				this.ready, this.internal, this.internal + 15, this.storePort);
	}

	void awaitReady(long seconds) throws Exception {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		for (Machine machine : this.machines) {
			while (!machine.isReady()) {
				if (System.nanoTime() > until) {
					throw new IllegalStateException(machine.name + " is not ready in time");
				}
				Thread.sleep(50);
			}
		}
	}

	private void kill() {
		for (Machine machine : this.machines) {
			if (machine.process != null) {
				machine.process.destroyForcibly();
			}
		}
	}

	@Override
	public void close() {
		kill();
		for (Machine machine : this.machines) {
			try {
				if (machine.process != null) {
					machine.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
