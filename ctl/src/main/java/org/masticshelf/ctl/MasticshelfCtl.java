package org.masticshelf.ctl;

import java.io.PrintStream;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.logging.Level;
import java.util.logging.LogManager;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;

import org.masticshelf.ctl.fleet.ExplainCommand;
import org.masticshelf.ctl.fleet.StatusCommand;
import org.masticshelf.ctl.keys.IssueCommand;
import org.masticshelf.ctl.keys.KeyListCommand;
import org.masticshelf.ctl.keys.WithdrawCommand;
import org.masticshelf.ctl.sample.SampleCommand;
import org.masticshelf.ctl.tables.ApplyCommand;
import org.masticshelf.ctl.tables.DifferenceCommand;
import org.masticshelf.ctl.tables.HistoryCommand;
import org.masticshelf.ctl.tables.ShowCommand;
import org.masticshelf.ctl.tables.ValidateCommand;
import org.masticshelf.transport.json.Json;

/**
 * The operators' tool. Exit status 0 means that everything asked for was done, 1 that it
 * was refused or failed, 2 that the command line or the settings are wrong.
 * <p>
 * Used by one thread.
 */
public final class MasticshelfCtl {

	private static final int SUCCESS = 0;

	private static final int FAILED = 1;

	private static final int WRONG_USAGE = 2;

	private final GlobalOptions global = new GlobalOptions();

	private final ConnectionOptions connection = new ConnectionOptions();

	private final Map<String, CtlCommand> commands = new LinkedHashMap<>();

	private final Map<String, JCommander> groups = new LinkedHashMap<>();

	private final Map<String, JCommander> parsers = new LinkedHashMap<>();

	private final JCommander parser = new JCommander(new Object[] { this.global, this.connection });

	private final PrintStream output;

	private final PrintStream errors;

	private final InstantSource time;

	/**
	 * Creates the tool.
	 * @param output takes the answers
	 * @param errors takes complaints to people
	 * @param time the time of day
	 */
	MasticshelfCtl(PrintStream output, PrintStream errors, InstantSource time) {
		this.output = output;
		this.errors = errors;
		this.time = time;
		this.parser.setProgramName("masticshelfctl");
		List.of(new ValidateCommand(), new ApplyCommand(), new ShowCommand(), new DifferenceCommand(),
				new HistoryCommand(), new IssueCommand(), new WithdrawCommand(), new KeyListCommand(),
				new StatusCommand(), new ExplainCommand(), new SampleCommand())
			.forEach(this::register);
	}

	/**
	 * Runs the tool and ends the process with its exit status.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		LogManager.getLogManager().getLogger("").setLevel(Level.WARNING);
		System.exit(new MasticshelfCtl(System.out, System.err, InstantSource.system()).run(arguments));
	}

	/**
	 * Runs one command.
	 * @param arguments the command line
	 * @return the exit status
	 */
	int run(String... arguments) {
		try {
			this.parser.parse(arguments);
			if (this.global.version) {
				this.output.println("masticshelfctl " + version());
				return SUCCESS;
			}
			CtlCommand command = this.commands.get(commandName());
			if (this.global.help || command == null) {
				usage(this.global.help ? this.output : this.errors);
				return this.global.help ? SUCCESS : WRONG_USAGE;
			}
			this.connection.readSettings();
			return run(command);
		}
		catch (ParameterException ex) {
			this.errors.println(ex.getMessage());
			return WRONG_USAGE;
		}
	}

	private int run(CtlCommand command) {
		Report report;
		try (Session session = new Session(this.connection, this.time)) {
			report = command.run(session);
		}
		catch (CommandFailure ex) {
			report = ex.toReport();
		}
		print(report);
		return report.succeeded() ? SUCCESS : FAILED;
	}

	private void print(Report report) {
		if (!this.connection.isJson()) {
			report.lines().forEach((report.succeeded() ? this.output : this.errors)::println);
			return;
		}
		try {
			this.output.println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(report.json()));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a JSON tree can always be written", ex);
		}
	}

	private void register(CtlCommand command) {
		this.commands.put(command.name(), command);
		JCommander parent = this.parser;
		String[] words = command.name().split(" ");
		if (words.length > 1) {
			parent = group(words[0]);
		}
		String last = words[words.length - 1];
		parent.addCommand(last, new Object[] { command, this.connection, this.global });
		this.parsers.put(command.name(), Objects.requireNonNull(parent.getCommands().get(last)));
	}

	private JCommander group(String word) {
		JCommander known = this.groups.get(word);
		if (known != null) {
			return known;
		}
		this.parser.addCommand(word, new Object());
		JCommander added = Objects.requireNonNull(this.parser.getCommands().get(word));
		this.groups.put(word, added);
		return added;
	}

	private String commandName() {
		String first = this.parser.getParsedCommand();
		if (first == null) {
			return "";
		}
		JCommander group = this.groups.get(first);
		String second = (group != null) ? group.getParsedCommand() : null;
		return (second != null) ? first + " " + second : first;
	}

	private void usage(PrintStream target) {
		StringBuilder text = new StringBuilder();
		JCommander asked = this.parsers.get(commandName());
		if (asked != null) {
			asked.getUsageFormatter().usage(text);
			target.print(text);
			return;
		}
		JCommander shared = new JCommander(new Object[] { this.global, this.connection });
		shared.setProgramName("masticshelfctl COMMAND");
		shared.getUsageFormatter().usage(text);
		text.append("  Commands (each with its own --help):\n");
		this.commands.forEach((name, command) -> text.append("    ")
			.append(name)
			.append(": ")
			.append(command.getClass().getAnnotation(Parameters.class).commandDescription())
			.append('\n'));
		target.print(text);
	}

	private static String version() {
		String version = MasticshelfCtl.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

	private static final class GlobalOptions {

		@Parameter(names = "--help", help = true, description = "Show the commands and their parameters")
		private boolean help;

		@Parameter(names = "--version", help = true, description = "Show the version")
		private boolean version;

	}

}
