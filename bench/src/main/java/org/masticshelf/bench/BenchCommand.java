package org.masticshelf.bench;

/**
 * A subcommand of {@code bin/bench}. Implementations register themselves through
 * {@link java.util.ServiceLoader}; their fields carry the annotations of JCommander.
 * <p>
 * Used by one thread.
 */
public interface BenchCommand {

	/**
	 * Returns the name.
	 * @return the word after {@code bin/bench}
	 */
	String name();

	/**
	 * Runs the subcommand with its parsed parameters.
	 * @return the exit status: 0 if all that was expected came out, else 1
	 * @throws Exception if it could not run to its end
	 */
	int run() throws Exception;

}
