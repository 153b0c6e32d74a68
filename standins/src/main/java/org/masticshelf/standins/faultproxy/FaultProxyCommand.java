package org.masticshelf.standins.faultproxy;

import java.io.IOException;
import java.util.Locale;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;

import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.web.WebServer;

/**
 * The subcommand {@code fault-proxy}. The mode is changed by {@code POST /mode/<mode>} on
 * the administration port.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "A TCP proxy with faults; POST /mode/<mode> on the administration port")
public final class FaultProxyCommand implements StandInCommand {

	private static final String MODE_PATH = "/mode/";

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "Port to listen on, 0 for any")
	private int port;

	@Parameter(names = "--target", required = true, description = "IP number and port to forward to")
	private String target = "";

	@Parameter(names = "--administration-port", required = true, description = "Port that changes the mode")
	private int administrationPort;

	@Override
	public String name() {
		return "fault-proxy";
	}

	@Override
	public Running start() throws IOException {
		FaultProxy proxy = FaultProxy.start(this.host, this.port, this.target);
		WebServer.start(this.host, this.administrationPort, (exchange) -> handle(exchange, proxy));
		return proxy;
	}

	private static void handle(HttpServerExchange exchange, FaultProxy proxy) {
		String path = exchange.getRequestPath();
		try {
			String name = path.startsWith(MODE_PATH) ? path.substring(MODE_PATH.length()) : "";
			proxy.setMode(FaultProxy.Mode.valueOf(name.replace('-', '_').toUpperCase(Locale.ROOT)));
		}
		catch (IllegalArgumentException ex) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND);
		}
	}

}
