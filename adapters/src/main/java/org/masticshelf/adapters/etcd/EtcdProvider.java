package org.masticshelf.adapters.etcd;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.transport.http.HttpClient;

/**
 * Opens locations such as
 * {@code etcd://127.0.0.1:2379,127.0.0.1:2380?timeout-milliseconds=2000}.
 * <p>
 * Stateless and safe for use by several threads.
 */
public final class EtcdProvider implements PortProvider<KeyValueStore> {

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

	private static final Pattern ADDRESSES = Pattern.compile("[^,:]+:[0-9]{1,5}(,[^,:]+:[0-9]{1,5})*");

	private static final Pattern QUERY = Pattern.compile("timeout-milliseconds=([0-9]{1,9})");

	private static final int INPUT_OUTPUT_THREADS = 1;

	@Override
	public Class<KeyValueStore> portType() {
		return KeyValueStore.class;
	}

	@Override
	public String scheme() {
		return "etcd";
	}

	@Override
	public KeyValueStore open(URI location) {
		String authority = location.getAuthority();
		if (authority == null || !ADDRESSES.matcher(authority).matches()) {
			throw new IllegalArgumentException("'" + location + "' is not of the form etcd://IP:port,IP:port");
		}
		return new EtcdKeyValue(List.of(authority.split(",")), timeout(location),
				HttpClient.withThreads(INPUT_OUTPUT_THREADS));
	}

	private static Duration timeout(URI location) {
		String query = location.getQuery();
		if (query == null) {
			return DEFAULT_TIMEOUT;
		}
		Matcher matcher = QUERY.matcher(query);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + query + "' is not of the form timeout-milliseconds=<number>");
		}
		return Duration.ofMillis(Long.parseLong(matcher.group(1)));
	}

}
