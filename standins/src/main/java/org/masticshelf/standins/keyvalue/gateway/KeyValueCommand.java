package org.masticshelf.standins.keyvalue.gateway;

import java.io.IOException;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * The subcommand {@code key-value}.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "A key-value service with the JSON gateway of etcd and fault switches")
public final class KeyValueCommand implements StandInCommand {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "Port to listen on, 0 for any")
	private int port;

	@Override
	public String name() {
		return "key-value";
	}

	@Override
	public Running start() throws IOException {
		return KeyValueGateway.start(new InMemoryKeyValue(MonotonicClock.SystemClock.INSTANCE), this.host, this.port);
	}

}
