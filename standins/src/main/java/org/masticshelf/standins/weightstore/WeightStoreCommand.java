package org.masticshelf.standins.weightstore;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Runs a weight store as a process of its own.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Runs a weight store")
public final class WeightStoreCommand implements Runnable {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "port, 0 for any free one")
	private int port;

	@Parameter(names = "--model-milliseconds", description = "time for a model at full speed")
	private long modelMilliseconds = 1000;

	@Parameter(names = "--loads-per-second", description = "model loads that may begin in a second")
	private double loadsPerSecond = 3;

	/**
	 * Runs a weight store until the process is ended.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		WeightStoreCommand command = new WeightStoreCommand();
		JCommander.newBuilder().addObject(command).build().parse(arguments);
		command.run();
	}

	@Override
	public void run() {
		WeightStoreStandIn store = new WeightStoreStandIn(this.host, this.port, this.modelMilliseconds,
				this.loadsPerSecond);
		System.out.println("listening address=" + store.address());
	}

}
