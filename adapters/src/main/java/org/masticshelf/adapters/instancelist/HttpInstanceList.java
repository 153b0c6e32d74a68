package org.masticshelf.adapters.instancelist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.type.TypeReference;

import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

/**
 * Reads the list from one address.
 * <p>
 * Invariant: a list is returned whole and without a duplicate identifier, or not at all.
 * Safe for use by several threads.
 */
public final class HttpInstanceList implements InstanceList {

	private static final int STATUS_OK = 200;

	private static final TypeReference<List<Instance>> LIST_TYPE = new TypeReference<>() {
	};

	private final String address;

	private final String path;

	private final Duration timeout;

	private final HttpClient client;

	/**
	 * Creates an adapter.
	 * @param address the IP number and port
	 * @param path the path of the list
	 * @param timeout how long a reading may take
	 * @param client makes the calls, closed with the adapter
	 */
	public HttpInstanceList(String address, String path, Duration timeout, HttpClient client) {
		this.address = address;
		this.path = path;
		this.timeout = timeout;
		this.client = client;
	}

	@Override
	public CompletableFuture<List<Instance>> read() {
		return this.client.exchange(HttpCall.get(this.address, this.path).withTimeout(this.timeout))
			.handle((answer, failure) -> {
				if (failure != null) {
					throw unreadable(String.valueOf(failure.getMessage()));
				}
				return parse(answer);
			});
	}

	@Override
	public void close() {
		this.client.close();
	}

	static List<Instance> parse(HttpResponse answer) {
		if (answer.status() != STATUS_OK) {
			throw unreadable("status " + answer.status());
		}
		try {
			List<Instance> list = Json.mapper().readValue(answer.body(), LIST_TYPE);
			requireValid(list);
			return List.copyOf(list);
		}
		catch (IOException ex) {
			throw unreadable(String.valueOf(ex.getMessage()));
		}
	}

	private static void requireValid(List<Instance> list) throws IOException {
		if (list == null) {
			throw new IOException("no list");
		}
		Set<String> identifiers = new HashSet<>();
		for (Instance instance : list) {
			if (instance == null || instance.identifier() == null || instance.address() == null
					|| instance.failureDomain() == null || instance.state() == null) {
				throw new IOException("an instance misses a field");
			}
			if (!identifiers.add(instance.identifier())) {
				throw new IOException("duplicate identifier " + instance.identifier());
			}
		}
	}

	private static UncheckedIOException unreadable(String reason) {
		String message = "the list of instances cannot be read: " + reason;
		return new UncheckedIOException(message, new IOException(message));
	}

}
