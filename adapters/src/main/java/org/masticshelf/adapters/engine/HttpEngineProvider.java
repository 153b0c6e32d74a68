package org.masticshelf.adapters.engine;

import java.net.URI;

import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.transport.http.HttpClient;

/**
 * Opens {@link HttpEngine} for the scheme {@code openai}. Stateless and safe for use by
 * several threads.
 */
public final class HttpEngineProvider implements PortProvider<Engine> {

	private static final int IO_THREADS = 4;

	@Override
	public Class<Engine> portType() {
		return Engine.class;
	}

	@Override
	public String scheme() {
		return "openai";
	}

	@Override
	public Engine open(URI location) {
		return new HttpEngine(HttpClient.withThreads(IO_THREADS));
	}

}
