package org.masticshelf.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.jspecify.annotations.Nullable;

import org.masticshelf.adapters.engine.HttpEngine;
import org.masticshelf.adapters.plain.HttpPlainService;
import org.masticshelf.control.claim.ClaimRegistry;
import org.masticshelf.control.claim.DelayedExecutor;
import org.masticshelf.control.configuration.ConfigurationSource;
import org.masticshelf.daemon.dispatch.PoolDispatcher;
import org.masticshelf.daemon.dispatch.PoolDispatchers;
import org.masticshelf.daemon.request.ActiveRequests;
import org.masticshelf.daemon.request.Grants;
import org.masticshelf.daemon.request.Holders;
import org.masticshelf.daemon.request.RequestEntry;
import org.masticshelf.daemon.request.RequestMetrics;
import org.masticshelf.daemon.request.RequestServices;
import org.masticshelf.daemon.settings.DaemonSettings;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.port.Engine;
import org.masticshelf.kernel.queue.QueueBounds;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.engine.EngineStandIn;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.plainservice.PlainServiceStandIn;
import org.masticshelf.transport.http.HttpAnswer;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.json.Json;

/**
 * An entry path with two engines and a plain service as stand-ins, and fixed knowledge of
 * where models are loaded. Used by one test.
 */
final class EntryFixture implements AutoCloseable {

	static final String KEY = "sofia-clerk-key";

	static final long BOUND_SECONDS = 30;

	private static final String MODEL = "crest";

	private static final long MODEL_BYTES = 1_000;

	private static final int MAXIMUM_BODY_BYTES = 16_384;

	final EngineStandIn first = EngineStandIn.builder().withSlots(4, 1).start();

	final EngineStandIn second = EngineStandIn.builder().withSlots(4, 1).start();

	final PlainServiceStandIn plain = new PlainServiceStandIn("127.0.0.1", 0, 0);

	final FixedHolders holders = new FixedHolders();

	final ActiveRequests active = new ActiveRequests();

	final InMemoryKeyValue store = new InMemoryKeyValue(MonotonicClock.ForSystem.INSTANCE);

	private final HttpClient client = HttpClient.withThreads(2);

	private final HttpClient callers = HttpClient.withThreads(2);

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final Pool models = new Pool(QualifiedName.of("sofia/models"), Route.Kind.MODEL, "sofia",
			List.of(endpoint("engine-1", this.first.address()), endpoint("engine-2", this.second.address())),
			List.of(new Pool.Model(MODEL, MODEL_BYTES, 2, 0, 60_000, List.of())));

	private final Pool services = new Pool(QualifiedName.of("sofia/services"), Route.Kind.PLAIN, "none",
			List.of(endpoint("plain-1", this.plain.address())), List.of());

	final FixedConfiguration configuration = new FixedConfiguration(new Configuration(1, new Tables(
			List.of(route("crest", this.models, MODEL, true), route("orders", this.services, null, false),
					route("stock", this.services, null, true)),
			List.of(this.models, this.services),
			List.of(new Organisation(QualifiedName.of("sofia/clerk"), 10_000, 10_000, 1)),
			List.of(new OrganisationKey(OrganisationKey.digestOf(KEY), QualifiedName.of("sofia/clerk"), 0, false)))));

	final RequestEntry entry;

	final CallerListener listener;

	EntryFixture() {
		MonotonicClock clock = MonotonicClock.ForSystem.INSTANCE;
		RequestServices requestServices = new RequestServices(new HttpEngine(this.client),
				new HttpPlainService(this.client), Grants.Unlimited.INSTANCE, this.holders, this.active, clock,
				this.scheduler, new RequestMetrics(new PrometheusRegistry()));
		PoolDispatchers dispatchers = new PoolDispatchers(
				(pool) -> new PoolDispatcher(pool, "a", QueueBounds.DEFAULT, clock, new Random(1)));
		ClaimRegistry claims = new ClaimRegistry(this.store.client(), clock,
				new DelayedExecutor.ForScheduler(this.scheduler), "test", (incarnation) -> true);
		this.entry = new RequestEntry(this.configuration, requestServices, dispatchers, claims, "test");
		this.listener = CallerListener.start("127.0.0.1:0",
				new DaemonSettings.Limits(MAXIMUM_BODY_BYTES, 8_192, 1_000, 1_000, 2), this.entry);
		this.scheduler.scheduleAtFixedRate(dispatchers::pump, 5, 5, TimeUnit.MILLISECONDS);
		load("engine-1", this.first.address());
		load("engine-2", this.second.address());
	}

	private static Pool.Endpoint endpoint(String identifier, String address) {
		return new Pool.Endpoint(identifier, address, "a", 10_000, 4, true);
	}

	private static Route route(String name, Pool pool, @Nullable String model, boolean idempotent) {
		return new Route(new QualifiedName("sofia", name), pool.name(), pool.kind(), model, null, Route.Access.KEY,
				idempotent, 10_000, 20_000);
	}

	private void load(String identifier, String address) {
		this.callers
			.exchange(HttpCall.postJson(address, "/orders",
					Json.toBytes(new Engine.Order(Engine.Action.LOAD, MODEL, MODEL_BYTES, 1))))
			.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS)
			.join();
		while (!state(address).contains("LOADED")) {
			Thread.onSpinWait();
		}
		this.holders.held.computeIfAbsent(MODEL, (name) -> ConcurrentHashMap.newKeySet()).add(identifier);
	}

	private String state(String address) {
		return new String(call(HttpCall.get(address, "/state")).body(), StandardCharsets.UTF_8);
	}

	HttpAnswer call(HttpCall call) {
		return this.callers.exchange(call.withTimeout(Duration.ofSeconds(BOUND_SECONDS)))
			.orTimeout(BOUND_SECONDS, TimeUnit.SECONDS)
			.join();
	}

	CompletableFuture<HttpAnswer> begin(HttpCall call) {
		return this.callers.exchange(call);
	}

	HttpCall chat(boolean stream, int maximumTokens) {
		Map<String, Object> body = Map.of("model", "crest", "stream", stream, "max_tokens", maximumTokens, "messages",
				List.of(Map.of("role", "user", "content", "a red crest")));
		return HttpCall.postJson(this.listener.address(), "/v1/chat/completions", Json.toBytes(body))
			.withHeader("authorization", "Bearer " + KEY)
			.withHeader("x-request-id", "mine");
	}

	HttpCall order(String idempotencyKey) {
		return HttpCall
			.postJson(this.listener.address(), "/sofia/orders/orders",
					"{\"stitches\":5}".getBytes(StandardCharsets.UTF_8))
			.withHeader("authorization", "Bearer " + KEY)
			.withHeader("idempotency-key", idempotencyKey);
	}

	void awaitActive() {
		long begun = System.nanoTime();
		while (this.active.size() == 0) {
			if (System.nanoTime() - begun > TimeUnit.SECONDS.toNanos(BOUND_SECONDS)) {
				throw new IllegalStateException("no request became active");
			}
			Thread.onSpinWait();
		}
	}

	void strike(String address, String fault, int count) {
		call(HttpCall.postJson(address, "/fault", Json.toBytes(Map.of("kind", fault, "count", count))));
	}

	JsonNode tally(String address) {
		return Json.toTree(call(HttpCall.get(address, "/tally")).body());
	}

	@Override
	public void close() {
		this.listener.close();
		this.scheduler.shutdownNow();
		this.callers.close();
		this.client.close();
		this.first.close();
		this.second.close();
		this.plain.close();
	}

	/** Knows what the test says. Safe for use by several threads. */
	static final class FixedHolders implements Holders {

		final Map<String, Set<String>> held = new ConcurrentHashMap<>();

		@Override
		public Set<String> of(Loadable loadable) {
			return Set.copyOf(this.held.getOrDefault(loadable.engineName(), Set.of()));
		}

		@Override
		public long wakeNanoseconds(Loadable loadable) {
			return 0;
		}

		@Override
		public void began(Loadable loadable, String endpoint) {
		}

		@Override
		public void ended(Loadable loadable, String endpoint) {
		}

		@Override
		public void notHeld(Loadable loadable, String endpoint) {
			this.held.getOrDefault(loadable.engineName(), Set.of()).remove(endpoint);
		}

	}

	/** A configuration that the test replaces. Safe for use by several threads. */
	static final class FixedConfiguration implements ConfigurationSource {

		volatile Configuration current;

		volatile Freshness freshness = Freshness.FRESH;

		FixedConfiguration(Configuration current) {
			this.current = current;
		}

		@Override
		public Configuration current() {
			return this.current;
		}

		@Override
		public Freshness freshness() {
			return this.freshness;
		}

		@Override
		public void addListener(Consumer<Configuration> listener) {
		}

	}

}
