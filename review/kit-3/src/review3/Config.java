package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds desired states as the operator writes them. */
final class Config {

	static final String HOST = "desk.example";

	static final String KEY = "k1desk0key0of0tenant0one";

	private final ObjectNode tree = Store.MAPPER.createObjectNode();

	private final ArrayNode routes = this.tree.putArray("routes");

	private final ArrayNode services = this.tree.putArray("services");

	Config() {
		this.tree.putObject("limits")
			.put("maxHeaderBytes", 16_384)
			.put("maxBodyBytes", 4_194_304)
			.put("headerTimeoutMs", 3_000)
			.put("idleTimeoutMs", 15_000);
		ObjectNode tenant = this.tree.putArray("tenants").addObject();
		tenant.put("name", "tenant1").putArray("apiKeys").add(KEY);
		tenant.put("unit", "tokens").put("plainTokens", 200).put("ratePerS", 0).put("burst", 0);
	}

	Config route(String name, String prefix, String kind, String service, int attempts, int timeout) {
		this.routes.addObject()
			.put("name", name)
			.put("host", HOST)
			.put("prefix", prefix)
			.put("kind", kind)
			.put("timeoutMs", timeout)
			.put("targetLatencyMs", 150)
			.put("priority", 2)
			.put("service", service)
			.put("maxAttempts", attempts)
			.put("public", false)
			.put("sticky", false)
			.put("resumable", false);
		return this;
	}

	Config service(String name, int connections) {
		this.services.addObject()
			.put("name", name)
			.put("healthPath", "/health")
			.put("maxConnections", connections)
			.put("protocol", "h1")
			.put("tls", false);
		return this;
	}

	/** A streaming route that may not be resumed. */
	Config stream(String name, String prefix, String service, int timeout) {
		route(name, prefix, "streaming", service, 1, timeout);
		((ObjectNode) this.routes.get(this.routes.size() - 1)).put("sticky", true)
			.put("gapAimMs", 250)
			.put("targetLatencyMs", 500);
		return this;
	}

	/** A service of model workers with one model. */
	Config engine(String name, String model) {
		service(name, 360);
		ObjectNode engine = ((ObjectNode) this.services.get(this.services.size() - 1)).putObject("engine");
		engine.put("slots", 64)
			.put("kvCapacity", 141_754)
			.put("kvTokenBytes", 327_680)
			.put("linkMbps", 740_000.0)
			.put("stride", 3)
			.put("hostMb", 140_000.0)
			.put("diskMb", 1_300_000.0)
			.put("weightsMb", 200_000.0)
			.put("adapterSlots", 8)
			.put("loadsPerS", 3.0);
		engine.putArray("models")
			.addObject()
			.put("name", model)
			.put("weightsMb", 34_300.0)
			.put("loadTimeS", 6.0)
			.put("adapters", 0)
			.put("adapterMb", 40.0)
			.put("warmS", 0.42)
			.put("diskS", 0.8);
		return this;
	}

	byte[] encode(int version) {
		this.tree.put("version", version);
		return Store.bytes(this.tree);
	}

}
