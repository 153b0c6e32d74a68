package org.masticshelf.standins.weightstore;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;

import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.web.JsonExchange;
import org.masticshelf.standins.web.WebServer;

/**
 * A weight store: {@code POST /load/<name>} answers when the weights have been read. It
 * begins a bounded number of model loads a second and slows all down beyond a number in
 * flight.
 * <p>
 * Invariant: no more model loads begin in a second than the rate. Safe for use by several
 * threads; counts stand under its own lock.
 */
public final class WeightStoreStandIn implements StandInCommand.Running {

	private static final int FULL_SPEED_MODELS = 4;

	private static final int FULL_SPEED_ADAPTERS = 30;

	private static final long STEP_MILLISECONDS = 5;

	private static final long ADAPTER_MINIMUM_MILLISECONDS = 5;

	private static final int ADAPTER_RANGE_MILLISECONDS = 16;

	private static final long STALL_CHECK_MILLISECONDS = 20;

	private final Object lock = new Object();

	private final long modelMilliseconds;

	private final long intervalNanoseconds;

	private final Map<String, Integer> loads = new HashMap<>();

	private final WebServer server;

	private int models;

	private int adapters;

	private int maximumModels;

	private int maximumAdapters;

	private int delayed;

	private long nextStart = System.nanoTime();

	private boolean stalled;

	/**
	 * Starts a store.
	 * @param host the IP number to listen on
	 * @param port the port, 0 for any free one
	 * @param modelMilliseconds how long a model takes at full speed
	 * @param loadsPerSecond how many model loads may begin in a second
	 */
	public WeightStoreStandIn(String host, int port, long modelMilliseconds, double loadsPerSecond) {
		this.modelMilliseconds = modelMilliseconds;
		this.intervalNanoseconds = (long) (1_000_000_000L / loadsPerSecond);
		this.server = WebServer.start(host, port,
				Handlers.routing()
					.post("/load/{name}", this::load)
					.post("/stall/{stalled}", this::stall)
					.get("/tally", this::tally));
	}

	/**
	 * Returns where the store listens.
	 * @return the IP number and port
	 */
	@Override
	public String address() {
		return this.server.address();
	}

	private void load(HttpServerExchange exchange) throws IOException, InterruptedException {
		JsonExchange json = new JsonExchange(exchange);
		String name = json.parameter("name", "");
		boolean adapter = name.contains(":");
		begin(name, adapter);
		try {
			if (!adapter) {
				awaitRate();
			}
			awaitBytes(adapter, duration(name, adapter));
		}
		finally {
			end(adapter);
		}
		json.answer(200, Map.of("name", name));
	}

	private long duration(String name, boolean adapter) {
		if (!adapter) {
			return this.modelMilliseconds;
		}
		return ADAPTER_MINIMUM_MILLISECONDS + Math.floorMod(name.hashCode(), ADAPTER_RANGE_MILLISECONDS);
	}

	private void begin(String name, boolean adapter) {
		synchronized (this.lock) {
			this.loads.merge(name, 1, Integer::sum);
			if (adapter) {
				this.adapters++;
			}
			else {
				this.models++;
			}
			this.maximumModels = Math.max(this.maximumModels, this.models);
			this.maximumAdapters = Math.max(this.maximumAdapters, this.adapters);
		}
	}

	private void end(boolean adapter) {
		synchronized (this.lock) {
			if (adapter) {
				this.adapters--;
			}
			else {
				this.models--;
			}
		}
	}

	private void awaitRate() throws InterruptedException {
		long wait;
		synchronized (this.lock) {
			long now = System.nanoTime();
			long start = Math.max(now, this.nextStart);
			this.nextStart = start + this.intervalNanoseconds;
			wait = start - now;
			this.delayed += (wait > 0) ? 1 : 0;
		}
		Thread.sleep(wait / 1_000_000L);
	}

	private void awaitBytes(boolean adapter, long milliseconds) throws InterruptedException {
		double progress = 0;
		while (progress < milliseconds) {
			Thread.sleep(Math.min(STEP_MILLISECONDS, milliseconds));
			progress += Math.min(STEP_MILLISECONDS, milliseconds) * speed(adapter);
			while (isStalled()) {
				Thread.sleep(STALL_CHECK_MILLISECONDS);
			}
		}
	}

	private double speed(boolean adapter) {
		synchronized (this.lock) {
			return adapter ? Math.min(1.0, (double) FULL_SPEED_ADAPTERS / this.adapters)
					: Math.min(1.0, (double) FULL_SPEED_MODELS / this.models);
		}
	}

	private boolean isStalled() {
		synchronized (this.lock) {
			return this.stalled;
		}
	}

	private void stall(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		synchronized (this.lock) {
			this.stalled = Boolean.parseBoolean(json.parameter("stalled", "false"));
		}
		json.answer(200, Map.of());
	}

	private void tally(HttpServerExchange exchange) throws IOException {
		Map<String, Object> tally = new HashMap<>();
		synchronized (this.lock) {
			tally.put("loads", Map.copyOf(this.loads));
			tally.put("maximum_models_in_flight", this.maximumModels);
			tally.put("maximum_adapters_in_flight", this.maximumAdapters);
			tally.put("delayed_by_rate", this.delayed);
		}
		new JsonExchange(exchange).answer(200, tally);
	}

	@Override
	public void close() {
		this.server.close();
	}

}
