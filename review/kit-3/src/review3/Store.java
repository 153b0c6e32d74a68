package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stand-in of the platform's metadata store. All state is guarded by the lock of the
 * object, so that its answers are linearizable. Each daemon reaches it at an address of
 * its own.
 */
final class Store implements AutoCloseable {

	static final ObjectMapper MAPPER = new ObjectMapper();

	private record Item(String key, byte[] value, long revision, long createRevision, long lease) {
	}

	private static final class Lease {

		private final long ttl;

		private long until;

		private Lease(long ttl) {
			this.ttl = ttl;
			this.until = now() + ttl;
		}

	}

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private final List<Http.Server> servers = new ArrayList<>();

	private long revision = 400;

	private long discarded = 400;

	private long lastLease = 77_000;

	private volatile boolean closed;

	Store() {
		Thread.ofPlatform().daemon(true).start(this::expire);
	}

	static long now() {
		return System.nanoTime() / 1_000_000;
	}

	/** Opens an address for one daemon. */
	String open(String host) throws IOException {
		Http.Server server = new Http.Server(host, this::handle);
		synchronized (this.servers) {
			this.servers.add(server);
		}
		return server.address();
	}

	synchronized long put(String key, byte[] value) {
		write(key, value, 0);
		return this.revision;
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.history.add(new Item(key, null, this.revision, 0, 0));
			notifyAll();
		}
	}

	synchronized boolean contains(String key) {
		return this.items.containsKey(key);
	}

	/** Forgets the history; watches from before get 410. */
	synchronized void compact() {
		this.discarded = this.revision;
		this.history.clear();
		notifyAll();
	}

	private void write(String key, byte[] value, long lease) {
		this.revision++;
		Item before = this.items.get(key);
		Item item = new Item(key, value, this.revision, (before != null) ? before.createRevision : this.revision,
				lease);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
	}

	private void expire() {
		while (!this.closed) {
			synchronized (this) {
				for (Map.Entry<Long, Lease> lease : List.copyOf(this.leases.entrySet())) {
					if (now() >= lease.getValue().until) {
						end(lease.getKey());
					}
				}
			}
			Main.pause(20);
		}
	}

	private void end(long lease) {
		this.leases.remove(lease);
		for (Item item : List.copyOf(this.items.values())) {
			if (item.lease == lease) {
				remove(item.key);
			}
		}
	}

	private void handle(Http.Message request, Http.Reply reply) throws Exception {
		String target = request.target();
		String path = target.split("\\?")[0];
		Map<String, String> query = Http.query(target);
		ObjectNode answer = MAPPER.createObjectNode();
		int status = 200;
		Main.pause(4);
		if (path.equals("/kv-watch")) {
			status = watch(query, answer);
		}
		else {
			synchronized (this) {
				status = change(request, path, query, answer);
			}
		}
		reply.send(status, Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(answer));
	}

	private int change(Http.Message request, String path, Map<String, String> query, ObjectNode answer)
			throws IOException {
		if (path.equals("/kv-key")) {
			Item item = this.items.get(query.get("key"));
			if (item == null) {
				return 404;
			}
			encode(answer, item).put("storeRevision", this.revision);
			return 200;
		}
		if (path.equals("/kv-range")) {
			ArrayNode list = answer.putArray("items");
			String after = query.getOrDefault("after", "");
			boolean more = false;
			for (Item item : this.items.values()) {
				if (item.key.startsWith(query.get("prefix")) && item.key.compareTo(after) > 0) {
					if (list.size() == 500) {
						more = true;
						break;
					}
					encode(list.addObject(), item);
				}
			}
			answer.put("morePages", more).put("storeRevision", this.revision);
			return 200;
		}
		if (path.equals("/kv-lease")) {
			long ttl = MAPPER.readTree(request.body()).path("ttlMs").asLong();
			this.leases.put(++this.lastLease, new Lease(ttl));
			answer.put("lease", this.lastLease).put("ttlMs", ttl);
			return 200;
		}
		if (path.startsWith("/kv-keep/")) {
			Lease lease = this.leases.get(Long.parseLong(path.substring(9)));
			if (lease == null) {
				return 404;
			}
			lease.until = now() + lease.ttl;
			answer.put("ttlMs", lease.ttl);
			return 200;
		}
		if (path.startsWith("/kv-lease-end/")) {
			long lease = Long.parseLong(path.substring(14));
			if (!this.leases.containsKey(lease)) {
				return 404;
			}
			end(lease);
			return 200;
		}
		if (path.equals("/kv-txn")) {
			return transact(MAPPER.readTree(request.body()), answer);
		}
		return 404;
	}

	private int transact(JsonNode body, ObjectNode answer) {
		boolean holds = true;
		for (JsonNode row : body.path("expected")) {
			Item item = this.items.get(row.path("key").asText());
			holds &= ((item != null) ? item.revision : 0) == row.path("revision").asLong();
		}
		if (!holds) {
			ArrayNode list = answer.putArray("items");
			for (JsonNode row : body.path("expected")) {
				Item item = this.items.get(row.path("key").asText());
				if (item != null) {
					encode(list.addObject(), item);
				}
			}
			answer.put("storeRevision", this.revision);
			return 412;
		}
		for (JsonNode put : body.path("setKeys")) {
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return 404;
			}
		}
		for (JsonNode put : body.path("setKeys")) {
			write(put.path("key").asText(), Base64.getDecoder().decode(put.path("value").asText()),
					put.path("lease").asLong());
		}
		body.path("remove").forEach((key) -> remove(key.asText()));
		answer.put("revision", this.revision);
		return 200;
	}

	private synchronized int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		String prefix = query.get("prefix");
		long until = now() + Long.parseLong(query.get("waitMs"));
		while (true) {
			if (after < this.discarded || after > this.revision) {
				return 410;
			}
			List<Item> events = new ArrayList<>();
			for (int index = this.history.size() - 1; index >= 0; index--) {
				Item item = this.history.get(index);
				if (item.revision <= after) {
					break;
				}
				if (item.key.startsWith(prefix)) {
					events.add(0, item);
				}
			}
			long left = until - now();
			if (!events.isEmpty() || left <= 0) {
				ArrayNode list = answer.putArray("events");
				events.forEach((item) -> encode(list.addObject(), item));
				answer.put("storeRevision", this.revision);
				return 200;
			}
			wait(left);
		}
	}

	private static ObjectNode encode(ObjectNode node, Item item) {
		node.put("key", item.key).put("revision", item.revision);
		if (item.value == null) {
			return node.put("deleted", true);
		}
		return node.put("value", Base64.getEncoder().encodeToString(item.value))
			.put("createRev", item.createRevision)
			.put("lease", item.lease);
	}

	static byte[] bytes(JsonNode node) {
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.closed = true;
		synchronized (this.servers) {
			this.servers.forEach(Http.Server::close);
		}
	}

}
