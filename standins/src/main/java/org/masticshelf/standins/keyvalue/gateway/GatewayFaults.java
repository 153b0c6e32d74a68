package org.masticshelf.standins.keyvalue.gateway;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.standins.keyvalue.KeyValueState;
import org.masticshelf.standins.web.JsonExchange;

/**
 * Switches faults by requests such as {@code POST /fault/down?value=true}, and the faults
 * that only exist over HTTP: delayed answers and answers that are no JSON.
 * <p>
 * Safe for use by several threads.
 */
final class GatewayFaults {

	private static final String PATH_PREFIX = "/fault/";

	private final InMemoryKeyValue store;

	private final Map<String, KeyValueState> snapshots = new HashMap<>();

	private long delayMilliseconds;

	private int rubbishAnswers;

	GatewayFaults(InMemoryKeyValue store) {
		this.store = store;
	}

	static boolean takes(String path) {
		return path.startsWith(PATH_PREFIX);
	}

	/**
	 * Waits as long as answers are to be delayed.
	 * @throws InterruptedException if the gateway is closed meanwhile
	 */
	void delay() throws InterruptedException {
		long delay;
		synchronized (this) {
			delay = this.delayMilliseconds;
		}
		Thread.sleep(delay);
	}

	synchronized boolean takeRubbish() {
		if (this.rubbishAnswers == 0) {
			return false;
		}
		this.rubbishAnswers--;
		return true;
	}

	/**
	 * Switches a fault.
	 * @param path the path of the request
	 * @param exchange the request, whose query parameters say how
	 * @return whether there is such a fault
	 */
	boolean switchFault(String path, JsonExchange exchange) {
		String name = path.substring(PATH_PREFIX.length());
		switch (name) {
			case "down" -> this.store.faults().setDown(flag(exchange));
			case "lose-answers" -> this.store.faults()
				.loseNextAnswers(KeyValueCall.valueOf(exchange.parameter("call", "TRANSACT")), count(exchange));
			case "hold-requests" -> this.store.faults().holdRequests();
			case "hold-answers" -> this.store.faults().holdAnswers();
			case "release" -> this.store.faults().release();
			case "drop-watch-batches" -> this.store.faults().dropNextWatchBatches(count(exchange));
			case "duplicate-watch-batches" -> this.store.faults().duplicateWatchBatches(flag(exchange));
			case "hold-watch-batches" -> this.store.faults().holdWatchBatches();
			case "release-watch-batches" -> this.store.faults().releaseWatchBatches();
			case "break-watches" -> this.store.breakWatches("asked for by a test");
			case "compact" -> this.store.compact();
			case "snapshot" -> takeSnapshot(exchange.parameter("name", "default"));
			case "restore" -> {
				return restore(exchange.parameter("name", "default"));
			}
			case "delay" -> setDelay(Long.parseLong(exchange.parameter("milliseconds", "0")));
			case "rubbish" -> setRubbish(count(exchange));
			default -> {
				return false;
			}
		}
		return true;
	}

	private synchronized void takeSnapshot(String name) {
		this.snapshots.put(name, this.store.snapshotState());
	}

	private boolean restore(String name) {
		KeyValueState snapshot;
		synchronized (this) {
			snapshot = this.snapshots.get(name);
		}
		if (snapshot == null) {
			return false;
		}
		this.store.restore(snapshot);
		return true;
	}

	private synchronized void setDelay(long milliseconds) {
		this.delayMilliseconds = milliseconds;
	}

	private synchronized void setRubbish(int count) {
		this.rubbishAnswers = count;
	}

	private static boolean flag(JsonExchange exchange) {
		return Boolean.parseBoolean(exchange.parameter("value", "true"));
	}

	private static int count(JsonExchange exchange) {
		return Integer.parseInt(exchange.parameter("count", "1"));
	}

}
