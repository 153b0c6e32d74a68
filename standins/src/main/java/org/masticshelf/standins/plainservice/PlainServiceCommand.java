package org.masticshelf.standins.plainservice;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Runs a plain service as a process of its own.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Runs a plain service")
public final class PlainServiceCommand implements Runnable {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "port, 0 for any free one")
	private int port;

	@Parameter(names = "--work-milliseconds", description = "time for a call")
	private long workMilliseconds = 2;

	/**
	 * Runs a plain service until the process is ended.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		PlainServiceCommand command = new PlainServiceCommand();
		JCommander.newBuilder().addObject(command).build().parse(arguments);
		command.run();
	}

	@Override
	public void run() {
		PlainServiceStandIn service = new PlainServiceStandIn(this.host, this.port, this.workMilliseconds);
		System.out.println("listening address=" + service.address());
	}

}
