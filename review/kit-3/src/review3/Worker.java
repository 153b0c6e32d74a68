package review3;

import java.io.IOException;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stand-in of a worker of a plain service. It writes its entry at each status report;
 * the entry is removed after three intervals of silence.
 */
final class Worker implements AutoCloseable {

	static final int HEARTBEAT_MILLISECONDS = 1_200;

	final String id;

	final String service;

	final String zone;

	final int slots;

	private final Store store;

	private final Http.Server server;

	private volatile boolean cutFromStore;

	private volatile boolean closed;

	private long wroteAt;

	private int sequence;

	Worker(Store store, String id, String service, String zone, int slots, String host, Http.Handler handler)
			throws IOException {
		this.store = store;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.server = new Http.Server(host, handler);
		beat();
		Thread.ofPlatform().daemon(true).start(this::run);
	}

	String address() {
		return this.server.address();
	}

	/** Partitions the worker from the store, not from the daemons. */
	void cutFromStore(boolean cut) {
		this.cutFromStore = cut;
	}

	private void run() {
		while (!this.closed) {
			if (!this.cutFromStore && Store.now() - this.wroteAt >= HEARTBEAT_MILLISECONDS) {
				beat();
			}
			if (Store.now() - this.wroteAt > 3 * HEARTBEAT_MILLISECONDS) {
				this.store.remove("servers/" + this.id);
			}
			Main.pause(20);
		}
	}

	private void beat() {
		this.wroteAt = Store.now();
		ObjectNode entry = Store.MAPPER.createObjectNode()
			.put("service", this.service)
			.put("address", address())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", this.slots)
			.put("state", "ready")
			.put("coldRemainingMs", 0)
			.put("sequence", ++this.sequence);
		this.store.put("servers/" + this.id, Store.bytes(entry));
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close();
	}

}
