package org.masticshelf.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.port.Engine;

/**
 * Engines in process whose loads end at once.
 * <p>
 * Used by one thread.
 */
final class InstantEngine implements Engine {

	private final Map<String, Map<String, Item>> endpoints = new HashMap<>();

	private int orders;

	/**
	 * Returns how many orders were taken.
	 * @return the count
	 */
	int orders() {
		return this.orders;
	}

	/**
	 * Loads the first models of each pool, so many at each endpoint.
	 * @param configuration the pools
	 * @param modelsOfEndpoint how many models each endpoint gets
	 * @return how many models were loaded
	 */
	int fill(Configuration configuration, int modelsOfEndpoint) {
		int loaded = 0;
		for (Pool pool : configuration.tables().pools()) {
			for (int index = 0; index < pool.endpoints().size() * modelsOfEndpoint; index++) {
				Pool.Model model = pool.models().get(index);
				Pool.Endpoint endpoint = pool.endpoints().get(index % pool.endpoints().size());
				items(endpoint).put(model.name(), new Item(model.name(), ItemState.LOADED, model.memoryBytes()));
				loaded++;
			}
		}
		return loaded;
	}

	private Map<String, Item> items(Pool.Endpoint endpoint) {
		return this.endpoints.computeIfAbsent(endpoint.identifier(), (key) -> new HashMap<>());
	}

	@Override
	public CompletableFuture<OrderAnswer> sendOrder(Pool.Endpoint endpoint, Order order) {
		this.orders++;
		if (order.action() == Action.LOAD) {
			items(endpoint).put(order.name(), new Item(order.name(), ItemState.LOADED, order.memoryBytes()));
		}
		else {
			items(endpoint).remove(order.name());
		}
		return CompletableFuture.completedFuture(new OrderAnswer(true, null));
	}

	@Override
	public CompletableFuture<Report> readReport(Pool.Endpoint endpoint) {
		List<Item> items = new ArrayList<>(items(endpoint).values());
		return CompletableFuture
			.completedFuture(new Report(items, List.of(), 0, 0, endpoint.memoryBytes(), Long.MAX_VALUE));
	}

	@Override
	public Cancellation generate(Pool.Endpoint endpoint, Generation generation, AnswerSink sink) {
		throw new UnsupportedOperationException("placement does not generate");
	}

	@Override
	public void close() {
		this.endpoints.clear();
	}

}
