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
import org.masticshelf.daemon.request.LoadableLocations;
import org.masticshelf.daemon.request.RequestHandler;
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
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

/**
 * A caller listener with stand-ins for two engines and a plain service, and with fixed
 * locations of models. Used by one test.
 */
final class CallerListenerFixture implements AutoCloseable {

	static final String KEY = "sofia-clerk-key";

	static final long TIMEOUT_SECONDS = 30;

	private static final String MODEL = "crest";

	private static final long MODEL_BYTES = 1_000;

	private static final int MAXIMUM_BODY_BYTES = 16_384;

	final EngineStandIn first = EngineStandIn.builder().withSlots(4, 1).start();

	final EngineStandIn second = EngineStandIn.builder().withSlots(4, 1).start();

	final PlainServiceStandIn plain = new PlainServiceStandIn("127.0.0.1", 0, 0);

	final FixedLocations locations = new FixedLocations();

	final ActiveRequests active = new ActiveRequests();

	final InMemoryKeyValue store = new InMemoryKeyValue(MonotonicClock.SystemClock.INSTANCE);

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

	final RequestHandler handler;

	final CallerListener listener;

	CallerListenerFixture() {
		MonotonicClock clock = MonotonicClock.SystemClock.INSTANCE;
		RequestServices requestServices = new RequestServices(new HttpEngine(this.client),
				new HttpPlainService(this.client), Grants.Unlimited.INSTANCE, this.locations, this.active, clock,
				this.scheduler, new RequestMetrics(new PrometheusRegistry()));
		PoolDispatchers dispatchers = new PoolDispatchers(
				(pool) -> new PoolDispatcher(pool, "a", QueueBounds.DEFAULT, clock, new Random(1)));
		ClaimRegistry claims = new ClaimRegistry(this.store.client(), clock,
				new DelayedExecutor.ForScheduler(this.scheduler), "test", (incarnation) -> true);
		this.handler = new RequestHandler(this.configuration, requestServices, dispatchers, claims, "test");
		this.listener = CallerListener.start("127.0.0.1:0",
				new DaemonSettings.Limits(MAXIMUM_BODY_BYTES, 8_192, 1_000, 1_000, 2), this.handler);
		this.scheduler.scheduleAtFixedRate(dispatchers::dispatchWaiting, 5, 5, TimeUnit.MILLISECONDS);
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
			.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.join();
		while (!state(address).contains("LOADED")) {
			Thread.onSpinWait();
		}
		this.locations.endpointsByModel.computeIfAbsent(MODEL, (name) -> ConcurrentHashMap.newKeySet()).add(identifier);
	}

	private String state(String address) {
		return new String(send(HttpCall.get(address, "/state")).body(), StandardCharsets.UTF_8);
	}

	HttpResponse send(HttpCall call) {
		return this.callers.exchange(call.withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)))
			.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.join();
	}

	CompletableFuture<HttpResponse> sendAsync(HttpCall call) {
		return this.callers.exchange(call);
	}

	HttpCall chatCall(boolean stream, int maximumTokens) {
		Map<String, Object> body = Map.of("model", "crest", "stream", stream, "max_tokens", maximumTokens, "messages",
				List.of(Map.of("role", "user", "content", "a red crest")));
		return HttpCall.postJson(this.listener.address(), "/v1/chat/completions", Json.toBytes(body))
			.withHeader("authorization", "Bearer " + KEY)
			.withHeader("x-request-id", "mine");
	}

	HttpCall orderCall(String idempotencyKey) {
		return HttpCall
			.postJson(this.listener.address(), "/sofia/orders/orders",
					"{\"stitches\":5}".getBytes(StandardCharsets.UTF_8))
			.withHeader("authorization", "Bearer " + KEY)
			.withHeader("idempotency-key", idempotencyKey);
	}

	void awaitActiveRequest() {
		long startedNanoseconds = System.nanoTime();
		while (this.active.size() == 0) {
			if (System.nanoTime() - startedNanoseconds > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
				throw new IllegalStateException("no request became active");
			}
			Thread.onSpinWait();
		}
	}

	void injectFault(String address, String fault, int count) {
		send(HttpCall.postJson(address, "/fault", Json.toBytes(Map.of("kind", fault, "count", count))));
	}

	JsonNode tally(String address) {
		return Json.toTree(send(HttpCall.get(address, "/tally")).body());
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

	/** Locations that the test sets. Safe for use by several threads. */
	static final class FixedLocations implements LoadableLocations {

		final Map<String, Set<String>> endpointsByModel = new ConcurrentHashMap<>();

		@Override
		public Set<String> endpointsFor(Loadable loadable) {
			return Set.copyOf(this.endpointsByModel.getOrDefault(loadable.engineName(), Set.of()));
		}

		@Override
		public long nanosecondsUntilReady(Loadable loadable) {
			return 0;
		}

		@Override
		public void requestStarted(Loadable loadable, String endpoint) {
		}

		@Override
		public void requestEnded(Loadable loadable, String endpoint) {
		}

		@Override
		public void reportNotLoaded(Loadable loadable, String endpoint) {
			this.endpointsByModel.getOrDefault(loadable.engineName(), Set.of()).remove(endpoint);
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
