package org.masticshelf.standins.plainservice;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;

import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.web.FaultSwitch;
import org.masticshelf.standins.web.JsonExchange;
import org.masticshelf.standins.web.WebServer;

/**
 * A plain service: {@code GET /stock/<item>} is idempotent, {@code POST /orders} is not
 * and counts each execution by idempotency key, else by request identifier.
 * <p>
 * Invariant: an execution is counted before anything is answered. Safe for use by several
 * threads; counts stand under its own lock.
 */
public final class PlainServiceStandIn implements StandInCommand.Running {

	private static final long STALL_MILLISECONDS = 600_000;

	private final Object lock = new Object();

	private final Map<String, Integer> executions = new HashMap<>();

	private final Set<String> keysSeen = new TreeSet<>();

	private final FaultSwitch<Fault> faults = new FaultSwitch<>(Fault.class);

	private final long workMilliseconds;

	private final WebServer server;

	private int stockCalls;

	/**
	 * Starts a service.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any free one
	 * @param workMilliseconds how long a call takes
	 */
	public PlainServiceStandIn(String host, int port, long workMilliseconds) {
		this.workMilliseconds = workMilliseconds;
		this.server = WebServer.start(host, port,
				Handlers.routing()
					.get("/stock/*", this::stock)
					.post("/orders", this::order)
					.post("/fault", this::fault)
					.get("/tally", this::tally));
	}

	/**
	 * Returns where the service listens.
	 * @return the IP number and port
	 */
	@Override
	public String address() {
		return this.server.address();
	}

	private void stock(HttpServerExchange exchange) throws IOException, InterruptedException {
		JsonExchange json = new JsonExchange(exchange);
		noteKeys(json);
		if (closesBeforeReading(json)) {
			return;
		}
		synchronized (this.lock) {
			this.stockCalls++;
		}
		Thread.sleep(this.workMilliseconds);
		String item = exchange.getRelativePath();
		finish(json, Map.of("item", item, "quantity", Math.floorMod(item.hashCode(), 1000)));
	}

	private void order(HttpServerExchange exchange) throws IOException, InterruptedException {
		JsonExchange json = new JsonExchange(exchange);
		noteKeys(json);
		if (closesBeforeReading(json)) {
			return;
		}
		ObjectNode body = json.body();
		if (this.faults.strikes(Fault.REFUSE)) {
			json.refuse(503, "refused");
			return;
		}
		String key = identityOf(json);
		int count;
		synchronized (this.lock) {
			count = this.executions.merge(key, 1, Integer::sum);
		}
		Thread.sleep(this.workMilliseconds);
		finish(json, Map.of("order", key, "executions", count, "received", body));
	}

	private static String identityOf(JsonExchange json) {
		String key = json.header("idempotency-key");
		if (key != null) {
			return key;
		}
		String request = json.header("x-request-id");
		return (request != null) ? request : "none";
	}

	private void finish(JsonExchange json, Object answer) throws IOException, InterruptedException {
		if (this.faults.strikes(Fault.STALL)) {
			Thread.sleep(STALL_MILLISECONDS);
		}
		if (this.faults.strikes(Fault.RUN_AND_LOSE_ANSWER)) {
			json.cut();
			return;
		}
		String request = json.header("x-request-id");
		if (request != null) {
			boolean crossed = this.faults.strikes(Fault.OTHER_REQUEST);
			json.withHeader("x-request-id", crossed ? "other-" + request : request);
		}
		if (this.faults.strikes(Fault.RUN_AND_FAIL)) {
			json.answer(500, Map.of("error", "failed after the call was run"));
			return;
		}
		if (this.faults.strikes(Fault.RUBBISH)) {
			json.answerRubbish();
			return;
		}
		json.answer(200, answer);
	}

	private boolean closesBeforeReading(JsonExchange json) {
		if (!this.faults.strikes(Fault.CLOSE_BEFORE_READING)) {
			return false;
		}
		json.cut();
		return true;
	}

	private void noteKeys(JsonExchange json) {
		synchronized (this.lock) {
			for (String name : new String[] { "authorization", "x-api-key" }) {
				String value = json.header(name);
				if (value != null) {
					this.keysSeen.add(name + "=" + value);
				}
			}
		}
	}

	private void fault(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		ObjectNode body = json.body();
		this.faults.ask(body.path("kind").asText(), body.path("count").asInt(1));
		json.answer(200, Map.of());
	}

	private void tally(HttpServerExchange exchange) throws IOException {
		Map<String, Object> tally = new HashMap<>();
		synchronized (this.lock) {
			tally.put("executions", Map.copyOf(this.executions));
			tally.put("stock_calls", this.stockCalls);
			tally.put("keys_seen", Set.copyOf(this.keysSeen));
		}
		new JsonExchange(exchange).answer(200, tally);
	}

	@Override
	public void close() {
		this.server.close();
	}

	/** A fault of the plain service, asked for by {@code POST /fault}. */
	public enum Fault {

		/** Runs the call and closes the connection instead of answering. */
		RUN_AND_LOSE_ANSWER,

		/** Runs the call and answers status 500. */
		RUN_AND_FAIL,

		/** Closes the connection without reading the body or running anything. */
		CLOSE_BEFORE_READING,

		/** Answers status 503 without running anything. */
		REFUSE,

		/** Runs the call and answers bytes that are no JSON. */
		RUBBISH,

		/** Answers with the identifier of another request. */
		OTHER_REQUEST,

		/** Runs the call and does not answer for ten minutes. */
		STALL

	}

}
