package org.masticshelf.standins.engine;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;

import org.masticshelf.kernel.port.Engine;
import org.masticshelf.standins.StandInCommand;
import org.masticshelf.standins.web.FaultSwitch;
import org.masticshelf.standins.web.JsonExchange;
import org.masticshelf.standins.web.WebServer;

/**
 * A model engine over HTTP. It counts its own memory, loads through a weight loader, and
 * strikes with faults on demand.
 * <p>
 * Invariant: it listens from its creation until it is closed or dies of a fault. Safe for
 * use by several threads.
 */
public final class EngineStandIn implements StandInCommand.Running {

	private static final String FAULT_COUNT = "count";

	private final ExecutorService loads = Executors.newVirtualThreadPerTaskExecutor();

	private final FaultSwitch<EngineFault> faults = new FaultSwitch<>(EngineFault.class);

	private final EngineTally tally = new EngineTally();

	private final Settings settings;

	private final EngineMemory memory;

	private final SlotQueue slots;

	private final Completions completions;

	private final WebServer server;

	private EngineStandIn(Settings settings) {
		this.settings = settings;
		this.memory = new EngineMemory(settings.memoryBytes, settings.checksFencing, this.tally);
		this.slots = new SlotQueue(settings.slots);
		this.completions = new Completions(this.memory, this.slots, this.tally, this.faults,
				settings.tokenMilliseconds);
		this.server = WebServer.start(settings.host, settings.port, Handlers.routing()
			.post("/v1/chat/completions", this.completions::handle)
			.post("/v1/completions", (exchange) -> this.completions.handle(exchange.addQueryParam("kind", "text")))
			.post("/orders", this::order)
			.post("/cancel/{request}", this::cancel)
			.post("/fault", this::fault)
			.get("/state", this::state)
			.get("/tally", (exchange) -> new JsonExchange(exchange).answer(200, this.tally.toMap())));
	}

	/**
	 * Describes an engine to be started.
	 * @return the default settings
	 */
	public static Settings builder() {
		return new Settings();
	}

	/**
	 * Returns where the engine listens.
	 * @return the IP number and port
	 */
	@Override
	public String address() {
		return this.server.address();
	}

	/**
	 * Returns what the engine counts.
	 * @return the tally
	 */
	public EngineTally tally() {
		return this.tally;
	}

	private void state(HttpServerExchange exchange) throws IOException {
		new JsonExchange(exchange).answer(200, this.memory.report(this.slots.running(), this.slots.waiting()));
	}

	private void order(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		Engine.Order order = JsonExchange.MAPPER.treeToValue(json.body(), Engine.Order.class);
		EngineMemory.Taken taken = this.memory.take(order);
		if (taken.load() > 0) {
			this.loads.execute(() -> load(order.name(), taken));
		}
		if (this.faults.strikes(EngineFault.LOSE_ORDER_ANSWER)) {
			json.cut();
			return;
		}
		json.answer(200, taken.answer());
	}

	private void load(String name, EngineMemory.Taken taken) {
		boolean successful = false;
		try {
			if (this.faults.strikes(EngineFault.DIE_MID_LOAD)) {
				die();
				return;
			}
			switch (taken.level()) {
				case MEMORY -> Thread.sleep(this.settings.memoryLoadMilliseconds);
				case DISK -> Thread.sleep(this.settings.diskLoadMilliseconds);
				case REMOTE -> this.settings.loader.load(name);
			}
			successful = !this.faults.strikes(EngineFault.FAIL_LOAD);
		}
		catch (IOException ex) {
			this.tally.refused("weight_store");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.memory.loadEnded(name, taken.load(), successful);
		}
	}

	private void die() throws InterruptedException {
		Thread.sleep(this.settings.memoryLoadMilliseconds);
		this.settings.death.run();
		close();
	}

	private void cancel(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		boolean found = this.completions.cancel(json.parameter("request", ""));
		json.answer(200, JsonExchange.MAPPER.createObjectNode().put("cancelled", found));
	}

	private void fault(HttpServerExchange exchange) throws IOException {
		JsonExchange json = new JsonExchange(exchange);
		ObjectNode body = json.body();
		this.faults.ask(body.path("kind").asText(), body.path(FAULT_COUNT).asInt(1));
		json.answer(200, JsonExchange.MAPPER.createObjectNode());
	}

	@Override
	public void close() {
		this.server.close();
		this.loads.shutdownNow();
	}

	/** Describes an engine. Used by one thread. */
	public static final class Settings {

		private String host = "127.0.0.1";

		private int port;

		private long memoryBytes = 80L << 30;

		private int slots = 8;

		private long tokenMilliseconds = 2;

		private boolean checksFencing = true;

		private long memoryLoadMilliseconds = 20;

		private long diskLoadMilliseconds = 100;

		private WeightLoader loader = new WeightLoader.OfDuration(200);

		private Runnable death = () -> {
		};

		private Settings() {
		}

		/**
		 * Sets where to listen.
		 * @param listenHost the IP number
		 * @param listenPort the port, 0 for any free one
		 * @return these settings
		 */
		public Settings withAddress(String listenHost, int listenPort) {
			this.host = listenHost;
			this.port = listenPort;
			return this;
		}

		/**
		 * Sets the memory.
		 * @param bytes the memory for models and adapters in bytes
		 * @return these settings
		 */
		public Settings withMemory(long bytes) {
			this.memoryBytes = bytes;
			return this;
		}

		/**
		 * Sets how fast and how many at once it generates.
		 * @param requests how many requests run at once
		 * @param milliseconds how long a token takes
		 * @return these settings
		 */
		public Settings withSlots(int requests, long milliseconds) {
			this.slots = requests;
			this.tokenMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Sets whether orders with an old fencing number are refused.
		 * @param checks whether they are refused
		 * @return these settings
		 */
		public Settings withFencing(boolean checks) {
			this.checksFencing = checks;
			return this;
		}

		/**
		 * Sets how fast cached weights load.
		 * @param memoryMilliseconds the time from host memory
		 * @param diskMilliseconds the time from disk
		 * @return these settings
		 */
		public Settings withCacheTimes(long memoryMilliseconds, long diskMilliseconds) {
			this.memoryLoadMilliseconds = memoryMilliseconds;
			this.diskLoadMilliseconds = diskMilliseconds;
			return this;
		}

		/**
		 * Sets where weights come from.
		 * @param weightLoader fetches weights that are not cached
		 * @return these settings
		 */
		public Settings withLoader(WeightLoader weightLoader) {
			this.loader = weightLoader;
			return this;
		}

		/**
		 * Sets what happens when the engine dies of a fault.
		 * @param action for example the end of the process
		 * @return these settings
		 */
		public Settings withDeath(Runnable action) {
			this.death = action;
			return this;
		}

		/**
		 * Starts the engine.
		 * @return the listening engine
		 */
		public EngineStandIn start() {
			return new EngineStandIn(this);
		}

	}

}
