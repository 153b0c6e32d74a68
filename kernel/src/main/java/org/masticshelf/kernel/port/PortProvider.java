package org.masticshelf.kernel.port;

import java.net.URI;
import java.util.ServiceLoader;

/**
 * A plug-in that opens adapters of one port for one URI scheme. Providers register
 * themselves through {@link ServiceLoader}.
 * <p>
 * Implementations are stateless and safe for use by several threads.
 *
 * @param <P> the port
 */
public interface PortProvider<P> {

	/**
	 * Returns the port that this provider opens.
	 * @return the type of the port
	 */
	Class<P> portType();

	/**
	 * Returns the scheme that this provider serves.
	 * @return for example {@code etcd}
	 */
	String scheme();

	/**
	 * Opens an adapter.
	 * @param location the location from the settings, for example
	 * {@code etcd://127.0.0.1:2379}
	 * @return the adapter
	 */
	P open(URI location);

	/**
	 * Opens the adapter for a location with whichever provider serves its scheme.
	 * @param port the port
	 * @param location the location from the settings
	 * @param <P> the port
	 * @return the adapter
	 * @throws IllegalArgumentException if no provider serves the scheme
	 */
	static <P> P open(Class<P> port, URI location) {
		for (PortProvider<?> provider : ServiceLoader.load(PortProvider.class)) {
			if (provider.portType() == port && provider.scheme().equals(location.getScheme())) {
				return port.cast(provider.open(location));
			}
		}
		throw new IllegalArgumentException(
				"no " + port.getSimpleName() + " adapter serves the scheme of '" + location + "'");
	}

}
