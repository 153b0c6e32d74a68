package org.masticshelf.bench.path;

import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.masticshelf.bench.BenchCommand;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.json.Json;

/**
 * The subcommand {@code path}: requests straight to an engine and through a daemon in one
 * run, and many streams at once through the daemon. Used by one thread.
 */
@Parameters(commandDescription = "Measure what a daemon adds to warm requests")
public final class PathCommand implements BenchCommand {

	private static final int CLIENT_THREADS = 4;

	private static final int STATUS_FAILED = 1;

	private static final String PATH = "/v1/chat/completions";

	@Parameter(names = "--daemon", required = true, description = "IP number and port of the daemon for callers")
	private String daemon = "";

	@Parameter(names = "--direct", required = true, description = "IP number and port of the quick engine")
	private String direct = "";

	@Parameter(names = "--direct-slow", description = "IP number and port of the engine for streams")
	private String directSlow = "";

	@Parameter(names = "--key", required = true, description = "Key of an organisation that may use the routes")
	private String key = "";

	@Parameter(names = "--rates", description = "Requests a second of each round")
	private List<Integer> rates = List.of(200, 1_000, 4_000);

	@Parameter(names = "--seconds", description = "Length of each round")
	private int seconds = 10;

	@Parameter(names = "--streams", description = "Streams at once, 0 for none")
	private int streams = 2_000;

	@Parameter(names = "--tokens", description = "Tokens of each stream")
	private int tokens = 100;

	@Override
	public String name() {
		return "path";
	}

	@Override
	public int run() throws InterruptedException {
		try (HttpClient client = HttpClient.withThreads(CLIENT_THREADS)) {
			HttpCall through = chat(this.daemon, "bench/quick", false, 1).withHeader("authorization",
					"Bearer " + this.key);
			HttpCall straight = chat(this.direct, "quick", false, 1);
			OpenLoop loop = new OpenLoop(client);
			loop.run(through, 200, 5);
			loop.run(straight, 200, 5);
			System.out.println("rate/s  way      sent    failed  p50 ms   p99 ms   max ms");
			for (int rate : this.rates) {
				loop.run(straight, rate, this.seconds).print(rate, "direct");
				loop.run(through, rate, this.seconds).print(rate, "daemon");
			}
			return (this.streams > 0) ? runStreams(client) : 0;
		}
	}

	private int runStreams(HttpClient client) throws InterruptedException {
		HttpCall stream = chat(this.daemon, "bench/slow", true, this.tokens).withHeader("authorization",
				"Bearer " + this.key);
		client.exchange(chat(this.daemon, "bench/slow", false, 1).withHeader("authorization", "Bearer " + this.key))
			.join();
		StreamLoad.Result result = new StreamLoad(client, this.tokens).run(stream, this.streams);
		System.out.println(result);
		return (result.whole() == this.streams) ? 0 : STATUS_FAILED;
	}

	private static HttpCall chat(String address, String model, boolean stream, int maximumTokens) {
		Map<String, Object> body = Map.of("model", model, "stream", stream, "max_tokens", maximumTokens, "messages",
				List.of(Map.of("role", "user", "content", "Which thread suits a red crest?")));
		return HttpCall.postJson(address, PATH, Json.toBytes(body));
	}

}
