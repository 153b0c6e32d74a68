package org.masticshelf.transport.http;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.transport.json.Json;

/**
 * Sends calls between daemons over HTTP with JSON bodies. Thread-safe.
 */
public final class HttpPeerChannel implements PeerChannel {

	private static final int STATUS_OK = 200;

	private final HttpClient client;

	private final JsonServer server;

	/**
	 * Creates a channel.
	 * @param client sends calls to peers
	 * @param server answers calls from peers
	 */
	public HttpPeerChannel(HttpClient client, JsonServer server) {
		this.client = client;
		this.server = server;
	}

	@Override
	public CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout) {
		HttpCall call = HttpCall.postJson(address, "/control/" + operation, Json.toBytes(body)).withTimeout(timeout);
		return this.client.exchange(call).thenApply((answer) -> toTree(operation, answer));
	}

	private static JsonNode toTree(String operation, HttpResponse answer) {
		if (answer.status() != STATUS_OK) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
					"status " + answer.status() + " from operation " + operation);
		}
		try {
			return Json.toTree(answer.body());
		}
		catch (UncheckedIOException ex) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, "malformed answer from " + operation);
		}
	}

	@Override
	public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
		this.server.addHandler(operation, handler);
	}

}
