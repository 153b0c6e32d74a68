package org.masticshelf.standins.weightstore;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.masticshelf.standins.StandInCommand;

/**
 * Runs a weight store as a process of its own.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Runs a weight store")
public final class WeightStoreCommand implements StandInCommand {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "port, 0 for any free one")
	private int port;

	@Parameter(names = "--model-milliseconds", description = "time for a model at full speed")
	private long modelMilliseconds = 1000;

	@Parameter(names = "--loads-per-second", description = "model loads that may begin in a second")
	private double loadsPerSecond = 3;

	@Override
	public String name() {
		return "weight-store";
	}

	@Override
	public Running start() {
		return new WeightStoreStandIn(this.host, this.port, this.modelMilliseconds, this.loadsPerSecond);
	}

}
