package org.masticshelf.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.control.placement.EndpointPresence;
import org.masticshelf.control.placement.OutstandingOrders;
import org.masticshelf.control.placement.PlacementController;
import org.masticshelf.control.placement.PlacementServices;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.placement.PlacementPolicy;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * Measures what the holder of a placing duty costs, by the number of models and adapters
 * of its store. One process plays holder, key-value service and engines; time is moved by
 * hand, so that only processor time is measured.
 * <p>
 * Used by one thread.
 */
public final class PlacementBench implements Duties, Duty, Members, ConfigurationSource, PeerChannel {

	private static final int MODELS_OF_POOL = 65;

	private static final int ADAPTERS_OF_POOL = 75;

	private static final int ENDPOINTS_OF_POOL = 8;

	private static final int LOADABLES_OF_POOL = MODELS_OF_POOL + ADAPTERS_OF_POOL;

	private static final int[] SIZES = { 140, 1_400, 14_000, 94_350 };

	private static final int MODELS_OF_ENDPOINT = 3;

	private static final int STEADY_SECONDS = 20;

	private static final int LARGEST_WAKES = 200;

	private static final String DUTY_KEY = "masticshelf/duty/place/store";

	private final MonotonicClock.Manual clock = new MonotonicClock.Manual();

	private final InMemoryKeyValue keyValue = new InMemoryKeyValue(this.clock);

	private final InstantEngine engine = new InstantEngine();

	private final Configuration configuration;

	private final PlacementController keeper;

	private @Nullable Tenure tenure;

	private PlacementBench(int loadables) {
		this.configuration = new Configuration(1,
				new Tables(List.of(), pools(loadables / LOADABLES_OF_POOL), List.of(), List.of()));
		PlacementServices services = new PlacementServices(this.keyValue, this.engine, this.clock,
				EndpointPresence.AlwaysLive.INSTANCE, (sender) -> CompletableFuture.completedFuture(true),
				new OutstandingOrders(this.clock), PlacementPolicy.DEFAULT, (event) -> {
				});
		this.keeper = new PlacementController("store", this, services, this, this);
	}

	/**
	 * Prints one line for each size.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		new PlacementBench(SIZES[1]).measure();
		System.out.println("loadables endpoints loaded idle_cpu_percent wake_cpu_us writes_per_wake state_bytes");
		for (int size : SIZES) {
			System.out.println(size + " " + new PlacementBench(size).measure());
		}
	}

	private static List<Pool> pools(int count) {
		List<Pool> pools = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			QualifiedName name = QualifiedName.of("bengal/pool" + index);
			List<Pool.Endpoint> endpoints = new ArrayList<>();
			for (int endpoint = 0; endpoint < ENDPOINTS_OF_POOL; endpoint++) {
				endpoints.add(new Pool.Endpoint("e" + index + "-" + endpoint, "127.0.0.1:1", "domain", 100, 8, true));
			}
			pools.add(new Pool(name, Route.Kind.MODEL, "store", endpoints, models()));
		}
		return pools;
	}

	private static List<Pool.Model> models() {
		List<Pool.Model> rows = new ArrayList<>();
		for (int model = 0; model < MODELS_OF_POOL; model++) {
			List<Pool.Adapter> adapters = new ArrayList<>();
			for (int adapter = model; adapter < ADAPTERS_OF_POOL; adapter += MODELS_OF_POOL) {
				adapters.add(new Pool.Adapter("a" + adapter, 1));
			}
			rows.add(new Pool.Model("m" + model, 24, 2, 0, 3_600_000, adapters));
		}
		return rows;
	}

	private String measure() {
		long before = usedBytes();
		takeDuty();
		tickFor(3_000);
		int loaded = this.engine.fill(this.configuration, MODELS_OF_ENDPOINT);
		tickFor(5_000);
		double idle = steady();
		int writes = this.keeper.keyValueWrites();
		int wakes = Math.min(LARGEST_WAKES,
				this.configuration.tables().pools().size() * MODELS_OF_ENDPOINT * ENDPOINTS_OF_POOL);
		long nanoseconds = wakes(wakes);
		double writesOfWake = (double) (this.keeper.keyValueWrites() - writes) / wakes;
		int endpoints = this.configuration.tables().pools().size() * ENDPOINTS_OF_POOL;
		return String.format("%d %d %.3f %.1f %.2f %d", endpoints, loaded, idle, nanoseconds / 1_000.0 / wakes,
				writesOfWake, usedBytes() - before);
	}

	private void takeDuty() {
		List<KeyValueStore.Operation> put = List.of(new KeyValueStore.Operation.Put(DUTY_KEY, "holder", 0));
		long revision = this.keyValue.transact(new KeyValueStore.Transaction(List.of(), put)).join().revision();
		this.tenure = new Tenure(DUTY_KEY, revision);
	}

	private double steady() {
		long start = processorNanoseconds();
		tickFor(STEADY_SECONDS * 1_000L);
		return (processorNanoseconds() - start) / (STEADY_SECONDS * 1e9) * 100;
	}

	private long wakes(int wakes) {
		long spent = 0;
		for (int wake = 0; wake < wakes; wake++) {
			long start = processorNanoseconds();
			demand(loadable(wake));
			this.keeper.tick();
			spent += processorNanoseconds() - start;
			tickFor(250);
		}
		return spent;
	}

	/**
	 * Returns adapters of loaded models in turn, which wakes can load without eviction.
	 * @param wake the number of the wake
	 * @return an adapter that is not loaded
	 */
	private Loadable loadable(int wake) {
		List<Pool> pools = this.configuration.tables().pools();
		int model = wake / pools.size() % (MODELS_OF_ENDPOINT * ENDPOINTS_OF_POOL);
		return new Loadable(pools.get(wake % pools.size()).name(), "m" + model, "a" + model);
	}

	private void demand(Loadable loadable) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("incarnation", "daemon").put("store", "store");
		ArrayNode waiting = body.putArray("waiting");
		LoadableCodec.write(loadable, waiting.addObject())
			.put("organisation", "bengal/small")
			.put("count", 1)
			.put("ageMilliseconds", 10);
		this.keeper.receiveDemand(body);
	}

	private void tickFor(long milliseconds) {
		for (long passed = 0; passed < milliseconds; passed += PlacementController.TICK_MILLISECONDS) {
			this.clock.advance(Duration.ofMillis(PlacementController.TICK_MILLISECONDS));
			this.keeper.tick();
		}
	}

	private static long processorNanoseconds() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	private static long usedBytes() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	@Override
	public Duty compete(String name) {
		return this;
	}

	@Override
	public Duty follow(String name) {
		return this;
	}

	@Override
	public String name() {
		return "place/store";
	}

	@Override
	public @Nullable Tenure tenure() {
		return this.tenure;
	}

	@Override
	public @Nullable Holder holder() {
		return null;
	}

	@Override
	public void addListener(Listener listener) {
	}

	@Override
	public Member self() {
		return new Member("holder", "instance", "127.0.0.1:1", "domain");
	}

	@Override
	public List<Member> members() {
		return List.of(self());
	}

	@Override
	public Configuration current() {
		return this.configuration;
	}

	@Override
	public Freshness freshness() {
		return Freshness.FRESH;
	}

	@Override
	public void addListener(Consumer<Configuration> listener) {
	}

	@Override
	public CompletableFuture<JsonNode> call(String address, String operation, JsonNode body, Duration timeout) {
		return CompletableFuture.failedFuture(new UnsupportedOperationException(operation));
	}

	@Override
	public void registerHandler(String operation, Function<JsonNode, CompletableFuture<JsonNode>> handler) {
	}

}
