import java.util.List;

/** The desired state of a small installation. */
final class Tables {

	private static final String LIMITS_AND_TENANTS = "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
			+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"key-1\"],"
			+ "\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200}]}";

	private Tables() {
	}

	/**
	 * Returns a desired state with one route and two services.
	 * @param version its version
	 * @param service the service of the route
	 */
	static String moved(long version, String service) {
		return moved(version, service, 0);
	}

	/**
	 * Returns a desired state with one route, two services, and routes that nobody uses.
	 * @param version its version
	 * @param service the service of the route
	 * @param others the number of the other routes
	 */
	static String moved(long version, String service, int others) {
		StringBuilder more = new StringBuilder();
		for (int index = 0; index < others; index++) {
			String name = Integer.toString(60_466_176 + 7_919 * index, 36);
			more.append(',')
				.append(route("r-" + name + "ta", "/lo" + name + "/", "streaming", 15_000, 500, 1, "order-desk", 1));
		}
		return "{\"version\":" + version + ",\"routes\":["
				+ route("stitch-order", "/orders/", "unsafe", 1_200, 150, 2, service, 1) + more + "],\"services\":["
				+ "{\"name\":\"order-desk\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false},"
				+ "{\"name\":\"order-desk-2\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
				+ LIMITS_AND_TENANTS;
	}

	/**
	 * Returns a desired state.
	 * @param version its version
	 * @param later the prefix of one more route, empty for none
	 * @param models the models of the engines
	 */
	static String text(long version, String later, String... models) {
		StringBuilder routes = new StringBuilder();
		routes.append(route("stitch-order", "/orders/", "unsafe", 1_200, 150, 2, "order-desk", 1));
		routes.append(',').append(route("stock-check", "/stock/", "safe", 1_200, 150, 2, "order-desk", 2));
		if (!later.isEmpty()) {
			routes.append(',').append(route("later", later, "unsafe", 1_200, 150, 2, "order-desk", 1));
		}
		routes.append(',').append(route("thread-hint", "/hints/", "streaming", 8_000, 500, 0, "design-llm", 1));
		List<String> profiles = java.util.Arrays.stream(models)
			.map((name) -> "{\"name\":\"" + name
					+ "\",\"weightsMb\":65500.0,\"loadTimeS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.42,\"diskS\":0.8}")
			.toList();
		return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
				+ "{\"name\":\"order-desk\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false},"
				+ "{\"name\":\"design-llm\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":64,\"kvCapacity\":141754,\"kvTokenBytes\":327680,\"linkMbps\":740000.0,\"moves\":true,"
				+ "\"backups\":true,\"stride\":3,\"maxCount\":12,\"hostMb\":140000.0,\"diskMb\":1300000.0,\"pinMs\":4000.0,"
				+ "\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[" + String.join(",", profiles)
				+ "],\"weightsMb\":200000.0,\"adapterSlots\":8,\"loadsPerS\":3.0}}],"
				+ LIMITS_AND_TENANTS;
	}

	private static String route(String name, String prefix, String kind, long timeout, long aim, int priority,
			String service, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"works.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
				+ "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + aim + ",\"priority\":" + priority
				+ ",\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
				+ ",\"public\":false,\"sticky\":false,\"resumable\":false,\"gapAimMs\":250}";
	}

}
