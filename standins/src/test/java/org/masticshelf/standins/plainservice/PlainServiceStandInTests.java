package org.masticshelf.standins.plainservice;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.standins.web.JsonExchange;

class PlainServiceStandInTests {

	private final HttpClient client = HttpClient.newHttpClient();

	@ParameterizedTest
	@CsvSource({ "NONE,200,1", "RUN_AND_LOSE_ANSWER,0,1", "RUN_AND_FAIL,500,1", "CLOSE_BEFORE_READING,0,0",
			"REFUSE,503,0", "RUBBISH,200,1", "OTHER_REQUEST,200,1" })
	void countsExecutions(String fault, int status, int executions) throws Exception {
		try (PlainServiceStandIn service = new PlainServiceStandIn("127.0.0.1", 0, 0)) {
			if (!fault.equals("NONE")) {
				status(service, "/fault", "{\"kind\":\"" + fault + "\"}");
			}
			Truth.assertThat(status(service, "/orders", "{}")).isEqualTo(status);
			Truth.assertThat(tally(service).at("/executions/k1").asInt()).isEqualTo(executions);
		}
	}

	private int status(PlainServiceStandIn service, String path, String body) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + service.address() + path))
			.header("idempotency-key", "k1")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		CompletableFuture<Integer> status = this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
			.handle((response, failure) -> (failure != null) ? 0 : response.statusCode());
		return status.get(20, TimeUnit.SECONDS);
	}

	private JsonNode tally(PlainServiceStandIn service) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + service.address() + "/tally")).build();
		return JsonExchange.MAPPER.readTree(this.client.send(request, HttpResponse.BodyHandlers.ofString()).body());
	}

}
