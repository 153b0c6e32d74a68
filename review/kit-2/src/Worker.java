import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A worker: registers in the store, carries out orders if it is an engine, and runs requests. */
final class Worker implements AutoCloseable {

	/** How a worker answers a request that it runs. */
	interface Run {

		boolean run(Worker worker, Web.Request request, OutputStream out, Socket socket) throws Exception;

	}

	/** An order that has arrived. */
	record Order(double at, String worker, String holder, long fencing, String op, String model, int status) {
	}

	static final long LOAD_MILLISECONDS = 600;

	final String identifier;

	final List<Order> orders = new ArrayList<>();

	final AtomicInteger running = new AtomicInteger();

	private final Store store;

	private final Record record;

	private final String service;

	private final String zone;

	private final int slots;

	private final boolean engine;

	private final Run run;

	private final Set<String> models = new TreeSet<>();

	private final Set<String> seen = new TreeSet<>();

	private final long born = System.currentTimeMillis();

	private final Web web;

	private long ordersTaken;

	private long beats;

	private volatile boolean busy;

	private volatile boolean closed;

	Worker(Store store, Record record, String identifier, String service, String zone, int slots, Set<String> models,
			Run run) throws Exception {
		this.store = store;
		this.record = record;
		this.identifier = identifier;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.engine = models != null;
		this.run = run;
		if (models != null) {
			this.models.addAll(models);
			this.seen.addAll(models);
		}
		this.web = new Web("127.0.0.1", 0, this::handle);
		beat();
		Thread.ofPlatform().daemon(true).start(this::beats);
	}

	private void beats() {
		while (!this.closed) {
			try {
				Thread.sleep(1_200);
			}
			catch (InterruptedException ex) {
				return;
			}
			if (!this.closed) {
				beat();
			}
		}
	}

	private void beat() {
		this.store.put("servers/" + this.identifier, entry(this.service, ""));
	}

	/** An entry of this worker for a service, without one of its fields. */
	String entry(String named, String missing) {
		ObjectNode entry = Store.JSON.createObjectNode()
			.put("service", named)
			.put("address", "127.0.0.1:" + this.web.port())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", this.slots)
			.put("state", "ready")
			.put("coldRemainingMs", 0)
			.put("born", this.born);
		synchronized (this) {
			if (this.engine) {
				entry.put("stage", "colocated");
				addModels(entry);
			}
			entry.put("sequence", ++this.beats);
		}
		entry.remove(missing);
		return entry.toString();
	}

	private void addModels(ObjectNode target) {
		ArrayNode list = target.putArray("models");
		this.models.forEach((model) -> list.addObject().put("name", model).put("version", 1).putArray("adapters"));
		ObjectNode atHand = target.putObject("atHand");
		ArrayNode memory = atHand.putArray("inMemory");
		this.seen.forEach(memory::add);
		atHand.putArray("onDisk");
	}

	private boolean handle(Web.Request request, OutputStream out, Socket socket) throws Exception {
		String target = request.headers().get("x-masticshelf-target-instance");
		if (target != null && !target.equals(this.identifier)) {
			Web.answer(out, 421, "X-Masticshelf-Instance-Id: " + this.identifier + "\r\n", new byte[0]);
			return true;
		}
		if (this.engine && request.path().equals("/report")) {
			report(out);
			return true;
		}
		if (this.engine && request.path().equals("/order")) {
			order(request, out);
			return true;
		}
		String model = request.headers().get("x-masticshelf-model");
		synchronized (this) {
			if (this.engine && model != null && !this.models.contains(model)) {
				Web.answer(out, 421, header(request), new byte[0]);
				return true;
			}
		}
		this.running.incrementAndGet();
		try {
			return this.run.run(this, request, out, socket);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	static String header(Web.Request request) {
		return "X-Masticshelf-Request-Id: " + request.headers().get("x-masticshelf-request-id") + "\r\n";
	}

	/** The headers of an answer to a request that ran. */
	String signed(Web.Request request) {
		return header(request) + "X-Masticshelf-Server-Signature: sig." + this.identifier + "\r\n";
	}

	private void report(OutputStream out) throws Exception {
		ObjectNode report = Store.JSON.createObjectNode().put("stage", "colocated");
		synchronized (this) {
			addModels(report);
			report.put("busy", this.busy).put("sequence", this.ordersTaken);
		}
		report.put("waiting", 0).put("running", this.running.get()).put("kvUsed", 0).put("kvTotal", 141_754)
			.put("handles", 0);
		Web.answer(out, 200, "Content-Type: application/json\r\n", Store.JSON.writeValueAsBytes(report));
	}

	private void order(Web.Request request, OutputStream out) throws Exception {
		JsonNode order = Store.JSON.readTree(request.body());
		String op = order.path("op").asText();
		String model = order.path("model").asText();
		int status;
		synchronized (this) {
			boolean present = this.models.contains(model);
			if (this.busy || (order.has("expected") && order.path("expected").asLong() != this.ordersTaken)) {
				status = 409;
			}
			else if (op.equals("load") == present) {
				status = 200;
			}
			else {
				status = 202;
				this.ordersTaken++;
				this.busy = true;
				if (op.equals("unload")) {
					this.models.remove(model);
				}
			}
			Order arrived = new Order(this.record.seconds(), this.identifier, order.path("holder").asText(),
					order.path("fencingToken").asLong(), op, model, status);
			this.orders.add(arrived);
			this.record.note(this.identifier + ": " + arrived);
		}
		if (status == 202) {
			Thread.ofPlatform().daemon(true).start(() -> {
				try {
					Thread.sleep(op.equals("load") ? LOAD_MILLISECONDS : 30);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				synchronized (this) {
					if (op.equals("load")) {
						this.models.add(model);
						this.seen.add(model);
					}
					this.busy = false;
				}
			});
		}
		Web.answer(out, status, "", new byte[0]);
	}

	synchronized List<Order> orders() {
		return List.copyOf(this.orders);
	}

	/** Leaves without a word: its entry is removed, and it goes on serving until it is closed. */
	void leave() {
		this.closed = true;
		this.store.remove("servers/" + this.identifier);
		this.record.note(this.identifier + ": its entry is removed");
	}

	/** Stops to answer, as a worker that has ended. */
	@Override
	public void close() {
		this.closed = true;
		this.web.close();
	}

	/** The desired state of a small deployment. */
	static String desiredState(long version, int models, int plainTimeout) {
		ObjectNode state = Store.JSON.createObjectNode().put("version", version);
		ArrayNode routes = state.putArray("routes");
		route(routes, "crest-draft", "/crest/", "streaming", 15_000, 500, 1, "design-llm", 1, false).put("gapAimMs", 250);
		route(routes, "bulk-proof", "/bulk/", "streaming", 30_000, 4_000, 2, "design-llm", 2, true).put("gapAimMs", 250);
		route(routes, "stitch-order", "/stitch/", "unsafe", plainTimeout, 150, 2, "order-desk", 1, false);
		route(routes, "stock-check", "/stock/", "safe", plainTimeout, 150, 2, "order-desk", 2, false);
		ArrayNode services = state.putArray("services");
		ObjectNode llm = services.addObject()
			.put("name", "design-llm")
			.put("healthPath", "/health")
			.put("maxConnections", 360)
			.put("protocol", "h1")
			.put("tls", false);
		ObjectNode engine = llm.putObject("engine")
			.put("slots", 64)
			.put("kvCapacity", 141_754)
			.put("hostMb", 140_000.0)
			.put("diskMb", 1_300_000.0)
			.put("weightsMb", 200_000.0)
			.put("adapterSlots", 8)
			.put("loadsPerS", 3.0);
		ArrayNode list = engine.putArray("models");
		for (int index = 0; index < models; index++) {
			list.addObject()
				.put("name", "m" + index)
				.put("weightsMb", 72_700.0)
				.put("loadTimeS", LOAD_MILLISECONDS / 1_000.0)
				.put("adapters", 0)
				.put("adapterMb", 40.0)
				.put("warmS", LOAD_MILLISECONDS / 1_000.0)
				.put("diskS", LOAD_MILLISECONDS / 1_000.0);
		}
		services.addObject()
			.put("name", "order-desk")
			.put("healthPath", "/health")
			.put("maxConnections", 100)
			.put("protocol", "h1")
			.put("tls", false);
		state.putObject("limits")
			.put("maxHeaderBytes", 16_384)
			.put("maxBodyBytes", 4_194_304)
			.put("headerTimeoutMs", 3_000)
			.put("idleTimeoutMs", 15_000);
		ObjectNode tenant = state.putArray("tenants").addObject().put("name", "sofia-hotels");
		tenant.putArray("apiKeys").add("k1");
		tenant.put("priority", 1).put("unit", "tokens").put("plainTokens", 200).put("ratePerS", 0).put("burst", 0);
		return state.toString();
	}

	private static ObjectNode route(ArrayNode routes, String name, String prefix, String kind, int timeout, int aim,
			int priority, String service, int attempts, boolean resumable) {
		return routes.addObject()
			.put("name", name)
			.put("host", "sofia.example")
			.put("prefix", prefix)
			.put("kind", kind)
			.put("timeoutMs", timeout)
			.put("targetLatencyMs", aim)
			.put("priority", priority)
			.put("service", service)
			.put("maxAttempts", attempts)
			.put("public", false)
			.put("sticky", kind.equals("streaming"))
			.put("resumable", resumable);
	}

}
