package org.masticshelf.adapters.instancelist;

import java.net.URI;
import java.time.Duration;

import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.transport.http.HttpClient;

/**
 * Opens locations such as {@code instances+http://127.0.0.1:8500/instances}.
 * <p>
 * Stateless and safe for use by several threads.
 */
public final class HttpInstanceListProvider implements PortProvider<InstanceList> {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int INPUT_OUTPUT_THREADS = 1;

	@Override
	public Class<InstanceList> portType() {
		return InstanceList.class;
	}

	@Override
	public String scheme() {
		return "instances+http";
	}

	@Override
	public InstanceList open(URI location) {
		String authority = location.getAuthority();
		if (authority == null || location.getPort() < 0) {
			throw new IllegalArgumentException("'" + location + "' is not of the form instances+http://IP:port/path");
		}
		return new HttpInstanceList(authority, location.getRawPath(), TIMEOUT,
				HttpClient.withThreads(INPUT_OUTPUT_THREADS));
	}

}
