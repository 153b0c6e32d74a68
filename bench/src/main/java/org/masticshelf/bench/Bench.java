package org.masticshelf.bench;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/**
 * Entry point of {@code bin/bench}: hands over to the named subcommand.
 * <p>
 * Stateless.
 */
public final class Bench {

	private static final int STATUS_USAGE = 2;

	private Bench() {
	}

	/**
	 * Runs a subcommand and exits with its status, 2 if the command line is wrong.
	 * @param arguments the name of the subcommand and its parameters
	 * @throws Exception if the subcommand could not run to its end
	 */
	public static void main(String[] arguments) throws Exception {
		System.exit(run(arguments));
	}

	static int run(String... arguments) throws Exception {
		JCommander commander = JCommander.newBuilder().programName("bench").build();
		Map<String, BenchCommand> commands = new TreeMap<>();
		ServiceLoader.load(BenchCommand.class).forEach((command) -> commands.put(command.name(), command));
		commands.forEach(commander::addCommand);
		try {
			commander.parse(arguments);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return STATUS_USAGE;
		}
		BenchCommand chosen = (commander.getParsedCommand() != null) ? commands.get(commander.getParsedCommand())
				: null;
		if (chosen == null) {
			System.err.println("name one of the subcommands " + commands.keySet());
			return STATUS_USAGE;
		}
		return chosen.run();
	}

}
