import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

	final String name;

	int front;

	int ready;

	private final Path settings;

	private final Path log;

	private Process process;

	private boolean closed;

	private int moves;

	private final String zone;

	private final String store;

	Daemon(String name, String zone, String store, Path folder) throws IOException {
		this.name = name;
		this.zone = zone;
		this.store = store;
		this.settings = folder.resolve(name + ".yaml");
		this.log = folder.resolve(name + ".log");
		writeSettings();
		start();
	}

	private void writeSettings() throws IOException {
		int[] ports = freePorts(4);
		this.front = ports[0];
		this.ready = ports[1];
		Files.writeString(this.settings, """
				nodeName: "%s"
				role: "daemon"
				machineClass: "front"
				serves: ["front"]
				ip: "127.0.0.1"
				zone: "%s"
				region: "sofia"
				zones: {"sofia-a": "sofia", "sofia-b": "sofia", "sofia-c": "sofia"}
				listenAddrs:
				  front: "127.0.0.1:%d"
				  ready: "127.0.0.1:%d"
				internalPortRange: [%d, %d]
				seeds: []
				bootstrap: true
				countsAsLoss: false
				limits: {cpuShare: 0.57, cores: 2, memoryMb: 560, maxFds: 6150, linkMbps: 1500.0, diskMb: 0}
				dataDir: null
				discovery: "platform"
				entry: "vip"
				heartbeatMs: 1200
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
				faultTolerance: {machines: 2, zones: 1, regions: 0}
				bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 54, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 11000, recoveryS: 12, passMs: 120, retryAfterS: 0, fencingEnforced: false, leaseTtlMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOverage: 1.1}
				platform: {address: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, minTtlMs: 1000}
				"""
			.formatted(this.name, this.zone, this.front, this.ready, ports[2], ports[2], this.store));
	}

	// Below the ports that the kernel gives to outgoing channels, so that none is taken before the daemon listens.
	static int[] freePorts(int count) throws IOException {
		int[] ports = new int[count];
		for (int index = 0; index < count;) {
			int port = ThreadLocalRandom.current().nextInt(10_000, 30_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
					DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getByName("127.0.0.1"))) {
				ports[index++] = socket.getLocalPort();
			}
			catch (BindException ex) {
				continue;
			}
		}
		return ports;
	}

	/** Starts the process, unless this was closed. */
	synchronized void start() throws IOException {
		if (this.closed) {
			return;
		}
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.map((line) -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
			.findFirst()
			.orElseThrow();
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
		builder.environment().put("MASTICSHELF_NODE_FILE", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		Process started = builder.start();
		this.process = started;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	/** Asks whether the daemon says that it is ready, as the platform does. */
	boolean isReady() {
		try (Socket socket = new Socket()) {
			socket.connect(new java.net.InetSocketAddress("127.0.0.1", this.ready), 500);
			socket.setSoTimeout(1_000);
			socket.getOutputStream()
				.write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			byte[] head = socket.getInputStream().readNBytes(12);
			return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Waits until the daemon says that it is ready. It starts again at other ports if one was taken meanwhile. */
	void awaitReady() throws InterruptedException, IOException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
		while (!isReady()) {
			if (!isAlive() && !logLines("already in use").isEmpty() && ++this.moves <= 5) {
				Files.delete(this.log);
				writeSettings();
				start();
			}
			else if (System.nanoTime() - until > 0 || !isAlive()) {
				throw new IllegalStateException(this.name + " doesn't get ready, see " + this.log);
			}
			Thread.sleep(50);
		}
	}

	List<String> logLines(String... words) throws IOException {
		return Files.readAllLines(this.log, StandardCharsets.ISO_8859_1)
			.stream()
			.filter((line) -> Arrays.stream(words).anyMatch(line::contains))
			.toList();
	}

	/** Ends all daemons, takes what their logs say of the case into the record, and deletes the temporary folder. */
	static void finish(Iterable<Daemon> daemons, Record record, String... words) {
		for (Daemon daemon : daemons) {
			daemon.close();
			try {
				daemon.process.waitFor();
				record.line("log of %s:", daemon.name);
				daemon.logLines(words).forEach((line) -> record.line("  %s", line));
				Files.deleteIfExists(daemon.log);
				Files.deleteIfExists(daemon.settings);
				Files.deleteIfExists(daemon.settings.getParent());
				Path above = daemon.settings.getParent().getParent();
				if (above.getFileName().toString().startsWith("review")) {
					Files.deleteIfExists(above);
				}
			}
			catch (DirectoryNotEmptyException | AccessDeniedException ex) {
				// Other files are there.
			}
			catch (IOException | InterruptedException ex) {
				record.line("%s: %s", daemon.name, ex);
			}
		}
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.process.destroyForcibly();
	}

}
