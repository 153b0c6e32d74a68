package org.masticshelf.standins.keyvalue.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;

/**
 * One streamed answer to a watch. Runs on a thread of its own, which waits for batches
 * and writes them; ends when the watch breaks or the caller has gone at the next write.
 * <p>
 * Listener methods may be called by any thread.
 */
final class GatewayWatch implements KeyValueStore.WatchListener {

	private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();

	private final InMemoryKeyValue store;

	private final GatewayMessages.WatchCreation creation;

	GatewayWatch(InMemoryKeyValue store, GatewayMessages.WatchRequest request) {
		this.store = store;
		this.creation = request.createRequest();
	}

	@Override
	public void onChange(List<KeyValueStore.Entry> entries, long revision) {
		List<GatewayMessages.WatchEvent> events = entries.stream().map(GatewayWatch::toEvent).toList();
		this.steps.add(new Step(
				new GatewayMessages.WatchResponse(new GatewayMessages.Header(revision), false, false, 0, null, events),
				false));
	}

	@Override
	public void onFailure(KeyValueFailure failure) {
		this.steps.add(new Step(new GatewayMessages.WatchResponse(new GatewayMessages.Header(0), false, true, 0,
				failure.getMessage(), List.of()), true));
	}

	void run(HttpServerExchange exchange) {
		String prefix = GatewayCalls.prefixOf(this.creation.key(), this.creation.rangeEnd());
		try (KeyValueStore.Watch watch = this.store.watch(prefix, this.creation.startRevision(), this)) {
			OutputStream output = exchange.getOutputStream();
			write(output,
					new GatewayMessages.WatchResponse(new GatewayMessages.Header(0), true, false, 0, null, List.of()));
			Step step;
			do {
				step = this.steps.take();
				if (step.last() && this.store.faults().isDown()) {
					IoUtils.safeClose(exchange.getConnection());
					return;
				}
				write(output, step.response());
			}
			while (!step.last());
			exchange.endExchange();
		}
		catch (IOException ex) {
			IoUtils.safeClose(exchange.getConnection());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			IoUtils.safeClose(exchange.getConnection());
		}
	}

	private static void write(OutputStream output, GatewayMessages.WatchResponse response) throws IOException {
		output.write(GatewayMessages.MAPPER.writeValueAsBytes(new GatewayMessages.Streamed(response)));
		output.write('\n');
		output.flush();
	}

	private static GatewayMessages.WatchEvent toEvent(KeyValueStore.Entry entry) {
		return new GatewayMessages.WatchEvent((entry.value() != null) ? null : "DELETE",
				GatewayMessages.KeyValue.of(entry));
	}

	private record Step(GatewayMessages.WatchResponse response, boolean last) {
	}

}
