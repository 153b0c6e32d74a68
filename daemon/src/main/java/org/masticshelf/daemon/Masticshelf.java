package org.masticshelf.daemon;

import java.io.PrintStream;
import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.transport.log.EventLog;
import org.masticshelf.transport.settings.SettingsException;
import org.masticshelf.transport.settings.SettingsReader;

/**
 * The program {@code masticshelf}. Exit status 0 means success, 1 that it failed, 2 that
 * the command line or the settings are wrong. Used by one thread.
 */
public final class Masticshelf {

	private static final String VERSION = "0.1.0";

	private static final int SUCCESS = 0;

	private static final int FAILURE = 1;

	private static final int USAGE_ERROR = 2;

	private Masticshelf() {
	}

	/**
	 * Runs the program.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Integer status = run(arguments, System.out, System.err);
		if (status != null) {
			System.exit(status);
		}
	}

	/**
	 * Runs a command.
	 * @param arguments the command line
	 * @param output receives regular output
	 * @param errors receives error messages
	 * @return the exit status, or {@code null} if a daemon is now running
	 */
	static @Nullable Integer run(String[] arguments, PrintStream output, PrintStream errors) {
		Options options = new Options();
		RunCommand run = new RunCommand();
		CheckCommand check = new CheckCommand();
		JCommander parser = JCommander.newBuilder()
			.programName("masticshelf")
			.addObject(options)
			.addCommand("run", run)
			.addCommand("check", check)
			.build();
		try {
			parser.parse(arguments);
		}
		catch (ParameterException ex) {
			errors.println("masticshelf: " + ex.getMessage() + ", see masticshelf --help");
			return USAGE_ERROR;
		}
		if (options.help || run.help || check.help) {
			StringBuilder usage = new StringBuilder();
			parser.getUsageFormatter().usage(usage);
			output.print(usage);
			return SUCCESS;
		}
		if (options.version) {
			output.println("masticshelf " + VERSION);
			return SUCCESS;
		}
		String command = parser.getParsedCommand();
		if (command == null) {
			errors.println("masticshelf: a command is missing, see masticshelf --help");
			return USAGE_ERROR;
		}
		if (command.equals("check")) {
			return check(check.settings, output, errors);
		}
		return start(run.settings, errors);
	}

	private static int check(String file, PrintStream output, PrintStream errors) {
		DaemonSettings settings = read(file, errors);
		if (settings == null) {
			return USAGE_ERROR;
		}
		output.println(file + ": no mistakes");
		return SUCCESS;
	}

	private static @Nullable Integer start(String file, PrintStream errors) {
		DaemonSettings settings = read(file, errors);
		if (settings == null) {
			return USAGE_ERROR;
		}
		try {
			Daemon daemon = Daemon.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "drain"));
			return null;
		}
		catch (RuntimeException ex) {
			EventLog.severe(Event.named("daemon.failed").with("cause", ex.getMessage()), ex);
			errors.println("masticshelf: cannot start: " + ex.getMessage());
			return FAILURE;
		}
	}

	private static @Nullable DaemonSettings read(String file, PrintStream errors) {
		try {
			return DaemonSettings.read(SettingsReader.of(Path.of(file)));
		}
		catch (SettingsException ex) {
			ex.errors().forEach(errors::println);
			return null;
		}
	}

	/** Options without a command. */
	private static final class Options {

		@Parameter(names = "--help", help = true, description = "Show the commands and their parameters")
		private boolean help;

		@Parameter(names = "--version", help = true, description = "Show the version")
		private boolean version;

	}

	/** The command {@code run}. */
	@Parameters(commandDescription = "Run the daemon until it is told to stop")
	private static final class RunCommand {

		@Parameter(names = "--settings", required = true, description = "JSON file with the settings")
		private String settings = "";

		@Parameter(names = "--help", help = true, description = "Show the parameters")
		private boolean help;

	}

	/** The command {@code check}. */
	@Parameters(commandDescription = "Check the settings without starting")
	private static final class CheckCommand {

		@Parameter(names = "--settings", required = true, description = "JSON file with the settings")
		private String settings = "";

		@Parameter(names = "--help", help = true, description = "Show the parameters")
		private boolean help;

	}

}
