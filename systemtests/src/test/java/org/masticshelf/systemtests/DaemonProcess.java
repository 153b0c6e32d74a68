package org.masticshelf.systemtests;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A daemon as a separate process that can be killed, frozen, stopped and started again.
 * <p>
 * Invariant: {@link #handOver()} leaves no process of this daemon. Safe for use by
 * several threads.
 */
final class DaemonProcess implements AutoCloseable {

	private static final long BOUND_SECONDS = 60;

	private final Object lock = new Object();

	private final List<String> lines = new ArrayList<>();

	private final String instance;

	private final String callers;

	private final String operators;

	private final String control;

	private final Path settings;

	private final Path log;

	private @Nullable Process process;

	private int incarnationBegan;

	/**
	 * Describes a daemon that is not started yet.
	 * @param instance the identifier of its instance
	 * @param callers the address of its listener for callers
	 * @param operators the address of its listener for probes
	 * @param control the address of its listener for other daemons
	 * @param folder where its settings and its log stand
	 */
	DaemonProcess(String instance, String callers, String operators, String control, Path folder) {
		this.instance = instance;
		this.callers = callers;
		this.operators = operators;
		this.control = control;
		this.settings = folder.resolve(instance + ".json");
		this.log = folder.resolve(instance + ".log");
	}

	/**
	 * Returns the identifier of the daemon's instance.
	 * @return the identifier
	 */
	String instance() {
		return this.instance;
	}

	/**
	 * Returns where callers connect.
	 * @return the IP number and port
	 */
	String callers() {
		return this.callers;
	}

	/**
	 * Returns where probes are answered.
	 * @return the IP number and port
	 */
	String operators() {
		return this.operators;
	}

	/**
	 * Returns where other daemons and tools connect.
	 * @return the IP number and port
	 */
	String control() {
		return this.control;
	}

	/**
	 * Returns where the daemon's settings are read from.
	 * @return the file
	 */
	Path settings() {
		return this.settings;
	}

	/** Starts a process of this daemon. */
	void start() {
		ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
				"-Dorg.jboss.logging.provider=slf4j", "-cp", System.getProperty("java.class.path"),
				"org.masticshelf.daemon.Masticshelf", "run", "--settings", this.settings.toString())
			.redirectErrorStream(true);
		try {
			synchronized (this.lock) {
				this.incarnationBegan = this.lines.size();
				Process started = builder.start();
				this.process = started;
				Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
				Thread.ofPlatform().daemon().name("log-" + this.instance).start(() -> readLog(started));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void readLog(Process started) {
		try (BufferedReader reader = started.inputReader(StandardCharsets.UTF_8)) {
			String line = reader.readLine();
			while (line != null) {
				synchronized (this.lock) {
					this.lines.add(line);
					this.lock.notifyAll();
				}
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			// The process was killed; what it wrote before has been read.
		}
	}

	/** Waits until the present process has logged that it is ready. */
	void awaitReady() {
		awaitLine("event=daemon.ready");
	}

	/**
	 * Waits until the present process has logged a line.
	 * @param part what the line holds
	 */
	void awaitLine(String part) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
		synchronized (this.lock) {
			while (!hasLine(part)) {
				long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
				if (left <= 0) {
					throw new AssertionError(this.instance + " logged no '" + part + "'");
				}
				try {
					this.lock.wait(left);
				}
				catch (InterruptedException ex) {
					throw new IllegalStateException(ex);
				}
			}
		}
	}

	/**
	 * Returns whether the present process has logged a line.
	 * @param part what the line holds
	 * @return whether there is such a line
	 */
	boolean hasLine(String part) {
		synchronized (this.lock) {
			return this.lines.stream().skip(this.incarnationBegan).anyMatch((line) -> line.contains(part));
		}
	}

	/** Kills the process without notice. */
	void kill() {
		Process running = running();
		running.destroyForcibly();
		awaitEnd(running);
	}

	/** Freezes the process. */
	void freeze() {
		signal("-STOP");
	}

	/** Lets a frozen process go on. */
	void goOn() {
		signal("-CONT");
	}

	/** Asks the process to stop as planned and waits for its end. */
	void stop() {
		Process running = running();
		running.destroy();
		awaitEnd(running);
	}

	private void signal(String name) {
		try {
			Process kill = new ProcessBuilder("kill", name, Long.toString(running().pid())).inheritIO().start();
			awaitEnd(kill);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Process running() {
		synchronized (this.lock) {
			if (this.process == null) {
				throw new IllegalStateException(this.instance + " was not started");
			}
			return this.process;
		}
	}

	private static void awaitEnd(Process process) {
		try {
			if (!process.waitFor(BOUND_SECONDS, TimeUnit.SECONDS)) {
				throw new AssertionError("process " + process.pid() + " did not end");
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		synchronized (this.lock) {
			if (this.process != null) {
				this.process.destroyForcibly();
			}
			try {
				Files.write(this.log, this.lines);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

}
