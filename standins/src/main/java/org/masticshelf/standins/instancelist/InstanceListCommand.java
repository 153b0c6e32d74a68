package org.masticshelf.standins.instancelist;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.masticshelf.standins.StandInCommand;

/**
 * The subcommand {@code instance-list}.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "A list of instances: GET /instances, changed by PUT, faults by POST /fault/...")
public final class InstanceListCommand implements StandInCommand {

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "Port to listen on, 0 for any")
	private int port;

	@Parameter(names = "--file", description = "JSON file with the list at the start")
	private @Nullable String file;

	@Override
	public String name() {
		return "instance-list";
	}

	@Override
	public Running start() throws IOException {
		InstanceListServer server = InstanceListServer.start(this.host, this.port);
		if (this.file != null) {
			server.replace(Files.readString(Path.of(this.file)));
		}
		return server;
	}

}
