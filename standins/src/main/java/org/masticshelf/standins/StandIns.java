package org.masticshelf.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.ServiceLoader;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Starts a stand-in as a process of its own. Prints {@code listening address=IP:port} on
 * the standard output once it is ready, and runs until the process is ended.
 * <p>
 * Without state; the subcommands register themselves as {@link StandInCommand}.
 */
public final class StandIns {

	private static final int SUCCESS = 0;

	private static final int FAILED = 1;

	private static final int WRONG_USAGE = 2;

	private StandIns() {
	}

	/**
	 * Starts the stand-in that the arguments name. Ends the process if it cannot start.
	 * @param arguments the subcommand and its parameters
	 */
	public static void main(String[] arguments) {
		int status = run(System.out, System.err, arguments);
		if (status != SUCCESS) {
			System.exit(status);
		}
	}

	static int run(PrintStream output, PrintStream errors, String... arguments) {
		Map<String, StandInCommand> commands = new LinkedHashMap<>();
		ServiceLoader.load(StandInCommand.class).forEach((command) -> commands.put(command.name(), command));
		Help help = new Help();
		JCommander parser = new JCommander(help);
		parser.setProgramName("masticshelf-standins");
		commands.forEach(parser::addCommand);
		try {
			parser.parse(arguments);
			StandInCommand command = commands.get(parser.getParsedCommand());
			if (help.asked || command == null) {
				parser.usage();
				return help.asked ? SUCCESS : WRONG_USAGE;
			}
			output.println("listening address=" + command.start().address());
			output.flush();
			return SUCCESS;
		}
		catch (ParameterException ex) {
			errors.println(ex.getMessage());
			return WRONG_USAGE;
		}
		catch (IOException | RuntimeException ex) {
			errors.println("cannot start: " + ex.getMessage());
			return FAILED;
		}
	}

	private static final class Help {

		@Parameter(names = "--help", help = true, description = "Show the parameters of all stand-ins")
		private boolean asked;

	}

}
