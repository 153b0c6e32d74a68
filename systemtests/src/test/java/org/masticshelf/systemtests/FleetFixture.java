package org.masticshelf.systemtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.engine.EngineStandIn;
import org.masticshelf.standins.engine.WeightLoader;
import org.masticshelf.standins.faultproxy.FaultProxy;
import org.masticshelf.standins.instancelist.InstanceListServer;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.gateway.KeyValueGateway;
import org.masticshelf.standins.plainservice.PlainServiceStandIn;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.json.Json;

/**
 * Four daemons in three failure domains as separate processes, each with a proxy of its
 * own before the key-value service, and the stand-ins around them in this process.
 * <p>
 * Invariant: {@link #handOver()} ends every process and server that was started. Used by
 * one thread.
 */
final class FleetFixture implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final long BOUND_SECONDS = 60;

	private static final long POLL_MILLISECONDS = 20;

	// Below the range from which systems draw the ports of outgoing connections.
	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 18_000;

	private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

	final InMemoryKeyValue store = new InMemoryKeyValue(MonotonicClock.SystemClock.INSTANCE);

	final List<EngineStandIn> engines = new ArrayList<>();

	final List<FaultProxy> keyValueProxies = new ArrayList<>();

	final List<DaemonProcess> daemons = new ArrayList<>();

	private final List<String> engineAddresses = new ArrayList<>();

	final InstanceListServer instances = InstanceListServer.start(HOST, 0);

	final PlainServiceStandIn plain;

	private final KeyValueGateway gateway = KeyValueGateway.start(this.store, HOST, 0);

	private final HttpClient client = HttpClient.withThreads(1);

	private FleetFixture(Builder builder) {
		this.plain = new PlainServiceStandIn(HOST, 0, builder.workMilliseconds);
		try {
			for (int index = 0; index < builder.engines; index++) {
				this.engines.add(EngineStandIn.builder()
					.withMemory(FleetTables.ENGINE_BYTES)
					.withSlots(builder.slots, builder.tokenMilliseconds)
					.withLoader(new WeightLoader.OfDuration(builder.loadMilliseconds))
					.start());
			}
			this.engines.forEach((engine) -> this.engineAddresses.add(engine.address()));
			list((index) -> InstanceList.State.LIVE);
			describeDaemons(Files.createDirectories(Path.of("target", "fleets", builder.name)));
			apply(FleetTables.of(this.engines.stream().map(EngineStandIn::address).toList(), builder.slots,
					this.plain.address()));
			this.daemons.forEach(DaemonProcess::start);
			this.daemons.forEach(DaemonProcess::awaitReady);
		}
		catch (IOException ex) {
			close();
			throw new UncheckedIOException(ex);
		}
		catch (RuntimeException | AssertionError ex) {
			close();
			throw ex;
		}
	}

	/**
	 * Describes a fleet.
	 * @param name the name of the test, for the folder of the logs
	 * @return the description with defaults
	 */
	static Builder builder(String name) {
		return new Builder(name);
	}

	private void describeDaemons(Path folder) throws IOException {
		List<String> control = IntStream.range(0, 4).mapToObj((index) -> freeAddress()).toList();
		for (int index = 0; index < control.size(); index++) {
			FaultProxy proxy = FaultProxy.start(HOST, 0, this.gateway.address());
			this.keyValueProxies.add(proxy);
			DaemonProcess daemon = new DaemonProcess("entry-" + index, freeAddress(), freeAddress(), control.get(index),
					folder);
			this.daemons.add(daemon);
			Files.write(daemon.settings(), Json.toBytes(Map.ofEntries(Map.entry("instance", daemon.instance()),
					Map.entry("failureDomain", FleetTables.domain(index)),
					Map.entry("failureDomains", List.of("a", "b", "c")), Map.entry("callerListener", daemon.callers()),
					Map.entry("operatorListener", daemon.operators()), Map.entry("controlListener", daemon.control()),
					Map.entry("keyValueService", "etcd://" + proxy.address()),
					Map.entry("instanceList", "instances+http://" + this.instances.address() + "/instances"),
					Map.entry("seedPeers", control), Map.entry("drainNoticeMilliseconds", 500),
					Map.entry("drainMilliseconds", 30_000))));
		}
	}

	private static String freeAddress() {
		while (true) {
			int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
			if (!GIVEN_PORTS.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
				return HOST + ":" + socket.getLocalPort();
			}
			catch (IOException ex) {
				// Another process listens there: the next number may be free.
			}
		}
	}

	/**
	 * Replaces the tables.
	 * @param tables the new tables
	 * @return the revision that holds them
	 */
	long apply(Tables tables) {
		ConfigurationWriter writer = ConfigurationWriter.of(this.store.client(), "test");
		long revision = join(writer.read()).head().revision();
		return accepted(join(writer.apply(tables, revision, "test")));
	}

	/**
	 * Withdraws a key.
	 * @param digest the digest of the key
	 * @return the revision that holds the change
	 */
	long withdraw(String digest) {
		ConfigurationWriter writer = ConfigurationWriter.of(this.store.client(), "test");
		return accepted(join(writer.changeKeys((keys) -> keys.stream()
			.map((key) -> key.digest().equals(digest)
					? new OrganisationKey(digest, key.organisation(), key.expiresAtEpochSeconds(), true) : key)
			.toList(), 0, "test")));
	}

	private static long accepted(ConfigurationWriter.Result result) {
		if (result instanceof ConfigurationWriter.Result.Accepted accepted) {
			return accepted.revision();
		}
		throw new AssertionError("not accepted: " + result);
	}

	/**
	 * Returns the daemon that holds a duty.
	 * @param prefix how the name of the duty begins
	 * @return the daemon
	 */
	DaemonProcess holderOf(String prefix) {
		await("a holder of " + prefix, () -> holders(prefix).size() == 1);
		return holders(prefix).getFirst();
	}

	private List<DaemonProcess> holders(String prefix) {
		List<KeyValueStore.Entry> duties = duties(prefix);
		return this.daemons.stream()
			.filter((daemon) -> duties.stream().anyMatch((entry) -> isHeldBy(daemon, entry)))
			.toList();
	}

	private List<KeyValueStore.Entry> duties(String prefix) {
		return join(this.store.client().list("masticshelf/duty/" + prefix)).entries();
	}

	private static boolean isHeldBy(DaemonProcess daemon, KeyValueStore.Entry entry) {
		return String.valueOf(entry.value()).contains(daemon.instance() + "-");
	}

	/**
	 * Returns whether a duty is held by a daemon.
	 * @param prefix how the name of the duty begins
	 * @return whether a daemon holds it
	 */
	boolean isHeld(String prefix) {
		return !holders(prefix).isEmpty();
	}

	/**
	 * Returns how many duties a daemon holds by the key-value service.
	 * @param daemon the daemon
	 * @return the number
	 */
	long dutiesOf(DaemonProcess daemon) {
		return duties("").stream().filter((entry) -> isHeldBy(daemon, entry)).count();
	}

	/**
	 * Returns how often the engines together began to load a model.
	 * @param model the name of the model
	 * @return the number of loads
	 */
	int loads(String model) {
		return tallies().stream().mapToInt((tally) -> {
			JsonNode loads = tally.path("loads");
			int sum = 0;
			for (Map.Entry<String, JsonNode> entry : loads.properties()) {
				sum += entry.getKey().endsWith(model) ? entry.getValue().asInt() : 0;
			}
			return sum;
		}).sum();
	}

	/**
	 * Returns how often an engine was asked for more memory than it has.
	 * @return the number over all engines
	 */
	int overcommits() {
		return tallies().stream().mapToInt((tally) -> tally.path("memory_overcommits").asInt()).sum();
	}

	/**
	 * Returns the tallies of the engines.
	 * @return one tree an engine
	 */
	List<JsonNode> tallies() {
		return this.engines.stream()
			.map((engine) -> (JsonNode) Json.mapper().valueToTree(engine.tally().toMap()))
			.toList();
	}

	/**
	 * Returns how often the plain service ran a call.
	 * @param idempotencyKey the name of the call
	 * @return the number of executions
	 */
	int executions(String idempotencyKey) {
		return Json.toTree(join(this.client.exchange(HttpCall.get(this.plain.address(), "/tally"))).body())
			.path("executions")
			.path(idempotencyKey)
			.asInt(0);
	}

	/**
	 * Switches a fault of a stand-in on.
	 * @param address the address of the stand-in
	 * @param fault the name of the fault
	 * @param count how often it strikes
	 */
	void strike(String address, String fault, int count) {
		join(this.client
			.exchange(HttpCall.postJson(address, "/fault", Json.toBytes(Map.of("kind", fault, "count", count)))));
	}

	/**
	 * Lists an endpoint as leaving, and the others as live.
	 * @param leaving the index of the engine
	 */
	void listAsLeaving(int leaving) {
		list((index) -> (index != leaving) ? InstanceList.State.LIVE : InstanceList.State.LEAVING);
	}

	/**
	 * Closes an engine and takes it off the list, as the platform does with an instance
	 * that is gone.
	 * @param gone the index of the engine
	 */
	void removeEngine(int gone) {
		this.engines.get(gone).close();
		list((index) -> (index != gone) ? InstanceList.State.LIVE : null);
	}

	private void list(IntFunction<InstanceList.@Nullable State> states) {
		List<InstanceList.Instance> listed = new ArrayList<>();
		for (int index = 0; index < this.engines.size(); index++) {
			InstanceList.State state = states.apply(index);
			if (state != null) {
				listed.add(new InstanceList.Instance("engine-" + index, this.engineAddresses.get(index),
						FleetTables.domain(index), state));
			}
		}
		try {
			this.instances.replace(Json.mapper().writeValueAsString(listed));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the revision that is in force at a daemon.
	 * @param daemon the daemon
	 * @return the revision
	 */
	long revision(DaemonProcess daemon) {
		return status(daemon).path("revision").asLong();
	}

	private JsonNode status(DaemonProcess daemon) {
		return Json.toTree(join(
				this.client.exchange(HttpCall.postJson(daemon.control(), "/control/status", new byte[] { '{', '}' })))
			.body());
	}

	/**
	 * Waits until a condition holds.
	 * @param what the condition in words
	 * @param condition the condition
	 */
	static void await(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
		CountDownLatch pause = new CountDownLatch(1);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new AssertionError("waited in vain for " + what);
			}
			try {
				pause.await(POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	/**
	 * Waits for all answers.
	 * @param answers the answers to come
	 * @return how many answers had each status
	 */
	static Map<Integer, Long> statuses(Collection<CompletableFuture<Caller.Answer>> answers) {
		return answers.stream()
			.map(FleetFixture::join)
			.collect(Collectors.groupingBy(Caller.Answer::status, Collectors.counting()));
	}

	/**
	 * Waits for a result.
	 * @param future the result to come
	 * @param <T> its type
	 * @return the result
	 */
	static <T> T join(CompletableFuture<T> future) {
		return future.orTimeout(2 * BOUND_SECONDS, TimeUnit.SECONDS).join();
	}

	@Override
	public void close() {
		this.daemons.forEach(DaemonProcess::close);
		this.keyValueProxies.forEach(FaultProxy::close);
		this.engines.forEach(EngineStandIn::close);
		this.plain.close();
		this.instances.close();
		this.gateway.close();
		this.client.close();
	}

	/** Describes a fleet. Used by one thread. */
	static final class Builder {

		private final String name;

		private int engines = 2;

		private int slots = 8;

		private long tokenMilliseconds = 2;

		private long loadMilliseconds = 500;

		private long workMilliseconds;

		private Builder(String name) {
			this.name = name;
		}

		/**
		 * Changes the engines.
		 * @param count how many there are
		 * @param requests how many requests each runs at once
		 * @param milliseconds the time for a token
		 * @return this builder
		 */
		Builder withEngines(int count, int requests, long milliseconds) {
			this.engines = count;
			this.slots = requests;
			this.tokenMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Changes the time that a load takes.
		 * @param milliseconds the time
		 * @return this builder
		 */
		Builder withLoadTime(long milliseconds) {
			this.loadMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Changes the time that a call of the plain service takes.
		 * @param milliseconds the time
		 * @return this builder
		 */
		Builder withWorkTime(long milliseconds) {
			this.workMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Starts the fleet and waits until all daemons are ready.
		 * @return the running fleet
		 */
		FleetFixture start() {
			return new FleetFixture(this);
		}

	}

}
