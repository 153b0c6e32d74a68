package org.masticshelf.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

/**
 * Sends the sample requests of the demo and checks their answers. Used by one thread.
 */
public final class DemoCaller implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int SHOWN_CHARACTERS = 160;

	private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

	private final HttpClient client = HttpClient.withThreads(1);

	private final Tables tables;

	private final String workshop;

	private final String key;

	private boolean expected = true;

	private DemoCaller(Tables tables, String workshop, String key) {
		this.tables = tables;
		this.workshop = workshop;
		this.key = key;
	}

	/**
	 * Runs the program.
	 * @param arguments the tables file, an organisation, its key and three daemons'
	 * addresses for callers
	 * @throws IOException if the tables file cannot be read
	 */
	public static void main(String[] arguments) throws IOException {
		Tables tables = Json.toValue(Files.readAllBytes(Path.of(arguments[0])), Tables.class);
		String workshop = QualifiedName.of(arguments[1]).workshop();
		try (DemoCaller caller = new DemoCaller(tables, workshop, arguments[2])) {
			caller.run(arguments[3], arguments[4], arguments[5]);
			System.exit(caller.expected ? 0 : 1);
		}
	}

	private void run(String first, String second, String third) {
		String model = firstRoute((route) -> route.kind() == Route.Kind.MODEL && route.access() == Route.Access.KEY);
		String order = firstRoute((route) -> route.kind() == Route.Kind.PLAIN && !route.idempotent());
		send("cold request", chat(first, model, false, 16), 200, "\"usage\"");
		send("warm request at another daemon", chat(second, model, false, 16), 200, "\"usage\"");
		send("streamed request", chat(third, model, true, 16), 200, "[DONE]");
		send("request without a key", unsigned(chat(first, model, false, 16)), 401, "\"ran\":\"not_run\"");
		send("request for an unknown model", chat(first, "no-such-model", false, 16), 404, "\"ran\":\"not_run\"");
		HttpCall call = HttpCall.postJson(first, "/" + order + "/orders", Json.toBytes(Map.of("quantity", 3)))
			.withHeader("authorization", "Bearer " + this.key)
			.withHeader("idempotency-key", "demo-1");
		String answer = send("non-repeatable call", call, 200, "");
		HttpCall again = new HttpCall(second, call.method(), call.path(), call.headers(), call.body(), call.timeout(),
				false);
		String repeated = send("the same call again at another daemon", again, 200, "");
		check(answer.equals(repeated), "the repeated call has the recorded answer");
	}

	private String firstRoute(Predicate<Route> wanted) {
		return this.tables.routes()
			.stream()
			.filter((route) -> route.name().workshop().equals(this.workshop))
			.filter(wanted)
			.findFirst()
			.orElseThrow()
			.name()
			.toString();
	}

	private HttpCall chat(String address, String model, boolean stream, int maximumTokens) {
		Map<String, Object> body = Map.of("model", model, "stream", stream, "max_tokens", maximumTokens, "messages",
				List.of(Map.of("role", "user", "content", "Draft a sorting note for bundle 7.")));
		return HttpCall.postJson(address, "/v1/chat/completions", Json.toBytes(body))
			.withHeader("authorization", "Bearer " + this.key);
	}

	private static HttpCall unsigned(HttpCall call) {
		return call.withHeader("authorization", "none");
	}

	private String send(String name, HttpCall call, int status, String part) {
		long begun = System.nanoTime();
		HttpResponse answer = this.client.exchange(call.withTimeout(TIMEOUT)).join();
		long taken = (System.nanoTime() - begun) / NANOSECONDS_PER_MILLISECOND;
		String text = new String(answer.body(), StandardCharsets.UTF_8).strip();
		System.out.println();
		System.out.println(name + ": status " + answer.status() + " in " + taken + " ms");
		System.out.println("  " + shorten(text.replace("\n", " ")));
		check(answer.status() == status && text.contains(part), name);
		return text;
	}

	private static String shorten(String text) {
		int half = SHOWN_CHARACTERS / 2;
		return (text.length() <= SHOWN_CHARACTERS) ? text
				: text.substring(0, half) + " ... " + text.substring(text.length() - half);
	}

	private void check(boolean holds, String name) {
		if (!holds) {
			System.out.println("  NOT AS EXPECTED: " + name);
			this.expected = false;
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

}
