package org.masticshelf.standins.plainservice;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.masticshelf.standins.StandInCommand;

/**
 * Runs a plain service as a process of its own.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Runs a plain service")
public final class PlainServiceCommand implements StandInCommand {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "port, 0 for any free one")
	private int port;

	@Parameter(names = "--work-milliseconds", description = "time for a call")
	private long workMilliseconds = 2;

	@Override
	public String name() {
		return "plain-service";
	}

	@Override
	public Running start() {
		return new PlainServiceStandIn(this.host, this.port, this.workMilliseconds);
	}

}
