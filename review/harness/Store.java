import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's metadata store, as PROTOCOL.md and the news pages describe it. */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	record Item(String key, byte[] value, long revision, long created, long lease) {
	}

	record Change(long revision, String key, Item item, long at) {
	}

	/** All that a copy of the store holds. */
	record Copy(TreeMap<String, Item> items, Map<Long, Long> leaseTtl, Map<Long, Long> leaseEnds, long revision,
			long nextLease) {
	}

	/** "historyS": 20. */
	private static final long HISTORY_MILLISECONDS = 20_000;

	private final HttpServer server;

	private TreeMap<String, Item> items = new TreeMap<>();

	private Map<Long, Long> leaseTtl = new HashMap<>();

	private Map<Long, Long> leaseEnds = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private long historyFrom = 400;

	private long revision = 400;

	private long nextLease = 77_000;

	private long era = 1;

	private int granted;

	private volatile boolean away;

	private volatile Record record;

	Store(Record record) throws IOException {
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/", this::handle);
		this.server.start();
		Thread.ofVirtual().start(() -> {
			while (true) {
				try {
					Thread.sleep(20);
				}
				catch (InterruptedException ex) {
					return;
				}
				expire();
			}
		});
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	private synchronized void expire() {
		if (this.away) {
			return;
		}
		long now = now();
		while (!this.history.isEmpty() && now - this.history.getFirst().at() > HISTORY_MILLISECONDS) {
			this.historyFrom = this.history.removeFirst().revision();
		}
		for (long lease : List.copyOf(this.leaseEnds.keySet())) {
			if (this.leaseEnds.get(lease) <= now) {
				end(lease);
			}
		}
	}

	private void end(long lease) {
		this.leaseEnds.remove(lease);
		this.leaseTtl.remove(lease);
		List<String> keys = this.items.values().stream().filter((i) -> i.lease() == lease).map(Item::key).toList();
		if (!keys.isEmpty()) {
			this.revision++;
			keys.forEach((key) -> change(key, null));
		}
		this.record.line("store: lease %d ended, with %s", lease, keys);
	}

	private void change(String key, Item item) {
		if (item == null) {
			this.items.remove(key);
		}
		else {
			this.items.put(key, item);
		}
		this.history.add(new Change(this.revision, key, item, now()));
		notifyAll();
	}

	/** Writes as the operator or a worker. */
	synchronized void put(String key, String value) {
		this.revision++;
		Item known = this.items.get(key);
		change(key, new Item(key, value.getBytes(StandardCharsets.UTF_8), this.revision,
				(known != null) ? known.created() : this.revision, 0));
	}

	synchronized void remove(String key) {
		if (this.items.containsKey(key)) {
			this.revision++;
			change(key, null);
		}
	}

	/** Returns how many leases were granted. */
	synchronized int granted() {
		return this.granted;
	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), new HashMap<>(this.leaseTtl), new HashMap<>(this.leaseEnds),
				this.revision, this.nextLease);
	}

	/** Goes away: calls are cut. */
	void leave() {
		this.away = true;
		synchronized (this) {
			notifyAll();
		}
	}

	void comeBack() {
		this.away = false;
	}

	/** Comes back from a copy, with what the operator and the workers wrote since written again. */
	synchronized void comeBackFrom(Copy copy) {
		Map<String, Item> others = new TreeMap<>();
		this.items.forEach((key, item) -> {
			if (key.startsWith("op/") || key.startsWith("servers/")) {
				others.put(key, item);
			}
		});
		this.items = new TreeMap<>(copy.items());
		this.leaseTtl = new HashMap<>(copy.leaseTtl());
		this.leaseEnds = new HashMap<>();
		long now = now();
		this.leaseTtl.forEach((lease, ttl) -> this.leaseEnds.put(lease, now + ttl));
		this.revision = copy.revision();
		this.nextLease = copy.nextLease();
		this.history.clear();
		this.historyFrom = this.revision;
		this.era++;
		others.forEach((key, item) -> {
			Item known = this.items.get(key);
			if (known == null || !java.util.Arrays.equals(known.value(), item.value())) {
				put(key, new String(item.value(), StandardCharsets.UTF_8));
			}
		});
		this.away = false;
		this.record.line("store: back from a copy, era %d, revision %d", this.era, this.revision);
	}

	synchronized Map<String, Item> items(String prefix) {
		return new TreeMap<>(this.items.subMap(prefix, prefix + "\uffff"));
	}

	private void handle(HttpExchange call) throws IOException {
		byte[] body = call.getRequestBody().readAllBytes();
		if (this.away) {
			call.close();
			return;
		}
		String path = call.getRequestURI().getPath();
		Map<String, String> query = new HashMap<>();
		String raw = call.getRequestURI().getRawQuery();
		if (raw != null) {
			for (String pair : raw.split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode((parts.length > 1) ? parts[1] : "", StandardCharsets.UTF_8));
			}
		}
		long[] status = { 200 };
		ObjectNode answer;
		long answeredIn;
		synchronized (this) {
			answer = answer(path, query, body, status);
			answeredIn = this.era;
		}
		if (this.away || answer == null) {
			call.close();
			return;
		}
		byte[] bytes = JSON.writeValueAsBytes(answer);
		call.getResponseHeaders().set("Content-Type", "application/json");
		call.getResponseHeaders().set("Store-Era", Long.toString(answeredIn));
		call.sendResponseHeaders((int) status[0], bytes.length);
		call.getResponseBody().write(bytes);
		call.close();
	}

	private ObjectNode node(Item item) {
		return JSON.createObjectNode().put("key", item.key())
			.put("value", Base64.getEncoder().encodeToString(item.value()))
			.put("revision", item.revision())
			.put("createRev", item.created())
			.put("lease", item.lease());
	}

	private ObjectNode answer(String path, Map<String, String> query, byte[] body, long[] status) throws IOException {
		ObjectNode answer = JSON.createObjectNode();
		if (path.startsWith("/kv-keep/")) {
			long lease = Long.parseLong(path.substring(9));
			Long ttl = this.leaseTtl.get(lease);
			status[0] = (ttl != null) ? 200 : 404;
			if (ttl != null) {
				this.leaseEnds.put(lease, now() + ttl);
				answer.put("ttlMs", ttl);
			}
			else {
				this.record.line("store: renewal of lease %d: 404", lease);
			}
			return answer;
		}
		if (path.startsWith("/kv-lease-end/")) {
			long lease = Long.parseLong(path.substring(14));
			status[0] = this.leaseTtl.containsKey(lease) ? 200 : 404;
			if (status[0] == 200) {
				end(lease);
			}
			return answer;
		}
		switch (path) {
			case "/kv-lease" -> {
				long ttl = Math.max(1_000, JSON.readTree(body).path("ttlMs").asLong());
				long lease = this.nextLease++;
				this.granted++;
				this.leaseTtl.put(lease, ttl);
				this.leaseEnds.put(lease, now() + ttl);
				this.record.line("store: lease %d granted", lease);
				return answer.put("lease", lease).put("ttlMs", ttl);
			}
			case "/kv-key" -> {
				Item item = this.items.get(query.get("key"));
				if (item == null) {
					status[0] = 404;
					return answer.put("storeRevision", this.revision);
				}
				return node(item).put("storeRevision", this.revision);
			}
			case "/kv-range" -> {
				String prefix = query.getOrDefault("prefix", "");
				ArrayNode list = answer.putArray("items");
				this.items.forEach((key, item) -> {
					if (key.startsWith(prefix) && key.compareTo(query.getOrDefault("after", "")) > 0) {
						list.add(node(item));
					}
				});
				return answer.put("morePages", false).put("storeRevision", this.revision);
			}
			case "/kv-watch" -> {
				return watch(query, status, answer);
			}
			case "/kv-txn" -> {
				return transact(JSON.readTree(body), status, answer);
			}
			default -> {
				status[0] = 404;
				return answer;
			}
		}
	}

	private ObjectNode watch(Map<String, String> query, long[] status, ObjectNode answer) {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long until = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
		long begunIn = this.era;
		String prefix = query.getOrDefault("prefix", "");
		while (true) {
			if (this.away || this.era != begunIn) {
				return null;
			}
			if (after > this.revision || after < this.historyFrom) {
				status[0] = 410;
				return answer;
			}
			ArrayNode events = JSON.createArrayNode();
			for (Change change : this.history) {
				if (change.revision() > after && change.key().startsWith(prefix)) {
					events.add((change.item() != null) ? node(change.item())
							: JSON.createObjectNode().put("key", change.key())
								.put("revision", change.revision())
								.put("deleted", true));
				}
			}
			if (events.size() > 8) {
				this.record.line("store: a watch from revision %d gets %d events", after, events.size());
			}
			long left = until - now();
			if (!events.isEmpty() || left <= 0) {
				answer.set("events", events);
				return answer.put("storeRevision", this.revision);
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				return null;
			}
		}
	}

	private ObjectNode transact(JsonNode body, long[] status, ObjectNode answer) throws IOException {
		boolean holds = true;
		for (JsonNode row : body.path("expected")) {
			Item item = this.items.get(row.path("key").asText());
			holds &= ((item != null) ? item.revision() : 0) == row.path("revision").asLong();
		}
		if (!holds) {
			status[0] = 412;
			ArrayNode list = answer.putArray("items");
			for (JsonNode row : body.path("expected")) {
				Item item = this.items.get(row.path("key").asText());
				if (item != null) {
					list.add(node(item));
				}
			}
			return answer.put("storeRevision", this.revision);
		}
		for (JsonNode put : body.path("setKeys")) {
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leaseTtl.containsKey(lease)) {
				status[0] = 404;
				return answer;
			}
		}
		this.revision++;
		for (JsonNode put : body.path("setKeys")) {
			String key = put.path("key").asText();
			Item known = this.items.get(key);
			change(key, new Item(key, Base64.getDecoder().decode(put.path("value").asText()), this.revision,
					(known != null) ? known.created() : this.revision, put.path("lease").asLong()));
			this.record.line("store: %s set by the system, lease %d, revision %d: %s", key, put.path("lease").asLong(),
					this.revision, shorten(new String(this.items.get(key).value(), StandardCharsets.UTF_8)));
		}
		for (JsonNode key : body.path("remove")) {
			if (this.items.containsKey(key.asText())) {
				change(key.asText(), null);
				this.record.line("store: %s removed by the system", key.asText());
			}
		}
		return answer.put("revision", this.revision);
	}

	private static String shorten(String text) {
		return (text.length() > 120) ? text.substring(0, 120) : text;
	}

	@Override
	public void close() {
		this.away = true;
		this.server.stop(0);
	}

}
