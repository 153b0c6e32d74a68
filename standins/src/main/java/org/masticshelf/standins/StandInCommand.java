package org.masticshelf.standins;

import java.io.IOException;

/**
 * A subcommand of {@link StandIns} that starts one kind of stand-in. Implementations have
 * a constructor without parameters, carry JCommander's parameter annotations and register
 * themselves through {@link java.util.ServiceLoader}.
 * <p>
 * Used by one thread.
 */
public interface StandInCommand {

	/**
	 * Returns the name of the subcommand.
	 * @return for example {@code key-value}
	 */
	String name();

	/**
	 * Starts the stand-in with the parsed parameters.
	 * @return the running stand-in
	 * @throws IOException if it cannot listen
	 */
	Running start() throws IOException;

	/** A running stand-in. */
	interface Running extends AutoCloseable {

		/**
		 * Returns where it listens.
		 * @return the IP number and port
		 */
		String address();

		@Override
		void close();

	}

}
