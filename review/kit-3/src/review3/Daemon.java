package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the deploy file's role, on a loopback address of its own. */
final class Daemon implements AutoCloseable {

	final String name;

	final String zone;

	final String host;

	final String callers;

	final String probes;

	private final Path settings;

	private final Path log;

	private Process process;

	Daemon(String name, String zone, String host, String store, Path folder) throws IOException {
		this.name = name;
		this.zone = zone;
		this.host = host;
		int front = freePort(host);
		int ready = freePort(host);
		int control = freePort(host);
		int internal = freePort(host);
		this.callers = host + ":" + front;
		this.probes = host + ":" + ready;
		this.settings = folder.resolve(name + ".yaml");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, """
				nodeName: "%s"
				role: "daemon"
				machineClass: "front"
				serves: ["front"]
				ip: "%s"
				zone: "%s"
				region: "test"
				zones: { test-a: "test", test-b: "test", test-c: "test" }
				listenAddrs: { front: "%s", ready: "%s", control: "%s:%d" }
				internalPortRange: [%d, %d]
				seeds: []
				bootstrap: true
				countsAsLoss: false
				limits: { cpuShare: 0.75, cores: 2, memoryMb: 560, maxFds: 6150, linkMbps: 1500.0, diskMb: 0 }
				dataDir: null
				discovery: "platform"
				entry: "vip"
				heartbeatMs: 1200
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"]
				faultTolerance: { machines: 2, zones: 1, regions: 0 }
				bounds: { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 54, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 11000, recoveryS: 12, passMs: 120, retryAfterS: 0, fencingEnforced: false, leaseTtlMs: 3000, thawSlackMs: 300, ceilingWindowS: 5, ceilingOverage: 1.1 }
				platform: { address: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, minTtlMs: 1000 }
				"""
			.formatted(name, host, zone, this.callers, this.probes, host, control, internal, internal, store));
	}

	private static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
	}

	/** Starts the process with the command of the deploy file. */
	void start() throws IOException {
		Path root = Path.of("").toAbsolutePath();
		String line = Files.readAllLines(root.resolve("deploy/system.toml"))
			.stream()
			.filter((text) -> text.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		List<String> command = new ArrayList<>(Http.words(line.substring(7, line.length() - 1)));
		ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("MASTICSHELF_NODE_FILE", this.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		this.process = builder.start();
	}

	boolean awaitReady(long milliseconds) {
		long until = Store.now() + milliseconds;
		while (Store.now() < until) {
			if (isReady()) {
				return true;
			}
			Main.pause(50);
		}
		return false;
	}

	boolean isReady() {
		try {
			return Http.call(this.probes, "GET", "/ready", Map.of("Host", "ready"), new byte[0], 1_000).status() == 200;
		}
		catch (IOException | RuntimeException ex) {
			return false;
		}
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	long count(String text) throws IOException {
		try (var lines = Files.lines(this.log)) {
			return lines.filter((line) -> line.contains(text)).count();
		}
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
			try {
				this.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
