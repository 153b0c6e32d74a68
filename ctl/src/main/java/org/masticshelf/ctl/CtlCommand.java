package org.masticshelf.ctl;

/**
 * A command of the tool. Implementations carry JCommander's parameter annotations.
 * <p>
 * Used by one thread.
 */
public interface CtlCommand {

	/**
	 * Returns the words that call the command.
	 * @return for example {@code tables apply}
	 */
	String name();

	/**
	 * Runs the command with its parsed parameters.
	 * @param session the connections to the platform and the daemons
	 * @return what to say
	 * @throws CommandFailure if it cannot go on
	 */
	Report run(Session session);

}
