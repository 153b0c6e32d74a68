package org.masticshelf.adapters.plain;

import java.net.URI;

import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.transport.http.HttpClient;

/**
 * Opens {@link HttpPlainService} for the scheme {@code http}. Stateless and safe for use
 * by several threads.
 */
public final class HttpPlainServiceProvider implements PortProvider<PlainService> {

	private static final int IO_THREADS = 4;

	@Override
	public Class<PlainService> portType() {
		return PlainService.class;
	}

	@Override
	public String scheme() {
		return "http";
	}

	@Override
	public PlainService open(URI location) {
		return new HttpPlainService(HttpClient.withThreads(IO_THREADS));
	}

}
