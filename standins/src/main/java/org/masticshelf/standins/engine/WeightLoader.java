package org.masticshelf.standins.engine;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * Fetches weights that are not cached at the engine.
 * <p>
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface WeightLoader {

	/**
	 * Fetches weights and returns when they are there.
	 * @param name the model or {@code model:adapter}
	 * @throws IOException if the weights cannot be had
	 * @throws InterruptedException if the load was cancelled
	 */
	void load(String name) throws IOException, InterruptedException;

	/** Fetches from a weight-store stand-in. */
	final class OfStore implements WeightLoader {

		private final HttpClient client = HttpClient.newHttpClient();

		private final String address;

		/**
		 * Creates a loader.
		 * @param address the IP number and port of the weight store
		 */
		public OfStore(String address) {
			this.address = address;
		}

		@Override
		public void load(String name) throws IOException, InterruptedException {
			String encoded = URLEncoder.encode(name, StandardCharsets.UTF_8);
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.address + "/load/" + encoded))
				.POST(HttpRequest.BodyPublishers.noBody())
				.build();
			HttpResponse<Void> response = this.client.send(request, HttpResponse.BodyHandlers.discarding());
			if (response.statusCode() != 200) {
				throw new IOException("the weight store answered status " + response.statusCode());
			}
		}

	}

	/** Takes a fixed time. */
	record OfDuration(long milliseconds) implements WeightLoader {

		@Override
		public void load(String name) throws InterruptedException {
			Thread.sleep(this.milliseconds);
		}

	}

}
