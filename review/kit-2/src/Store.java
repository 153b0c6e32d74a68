import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's store: items, leases, one revision, watches. */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private record Item(String key, byte[] value, long revision, long created, long lease) {
	}

	private record Change(String key, long revision, Item item) {
	}

	private TreeMap<String, Item> items = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private Map<Long, Long> leaseTimes = new HashMap<>();

	private Map<Long, Long> leaseEnds = new HashMap<>();

	private long revision = 100;

	private long nextLease = 77_000;

	private final long oldest = 100;

	private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

	/** Channels on which nothing is answered any more. */
	private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

	private final Web web;

	private final Record record;

	Store(String host, Record record) throws Exception {
		this.record = record;
		this.web = new Web(host, 0, this::handle);
		Thread.ofPlatform().daemon(true).start(this::expire);
	}

	int port() {
		return this.web.port();
	}

	synchronized void put(String key, String value) {
		write(key, value.getBytes(StandardCharsets.UTF_8), 0);
		notifyAll();
	}

	synchronized void remove(String key) {
		delete(key);
		notifyAll();
	}

	/** All open channels are silent from now on, for good; new ones work. */
	synchronized void silenceChannels() {
		this.silent.addAll(this.channels);
		notifyAll();
	}

	private void closeChannels() {
		for (Socket channel : List.copyOf(this.channels)) {
			try {
				channel.close();
			}
			catch (java.io.IOException ex) {
				// It is closed.
			}
		}
	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	private void write(String key, byte[] value, long lease) {
		Item known = this.items.get(key);
		long next = ++this.revision;
		Item item = new Item(key, value, next, (known != null) ? known.created() : next, lease);
		this.items.put(key, item);
		this.changes.add(new Change(key, next, item));
	}

	private void delete(String key) {
		if (this.items.remove(key) != null) {
			this.changes.add(new Change(key, ++this.revision, null));
		}
	}

	private void expire() {
		while (true) {
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				for (Long lease : List.copyOf(this.leaseEnds.keySet())) {
					if (this.leaseEnds.get(lease) < now()) {
						end(lease);
					}
				}
			}
		}
	}

	private void end(long lease) {
		if (this.leaseTimes.remove(lease) == null) {
			return;
		}
		this.leaseEnds.remove(lease);
		for (Item item : List.copyOf(this.items.values())) {
			if (item.lease() == lease) {
				delete(item.key());
			}
		}
		notifyAll();
	}

	private ObjectNode encode(Item item) {
		return JSON.createObjectNode()
			.put("key", item.key())
			.put("value", Base64.getEncoder().encodeToString(item.value()))
			.put("revision", item.revision())
			.put("createRev", item.created())
			.put("lease", item.lease());
	}

	private boolean handle(Web.Request request, OutputStream out, Socket socket) throws Exception {
		this.channels.add(socket);
		ObjectNode body = JSON.createObjectNode();
		int status;
		synchronized (this) {
			if (isSilent(socket)) {
				return true;
			}
			status = route(request, body);
			if (isSilent(socket)) {
				return true;
			}
		}
		// The store takes 4 ms for an answer.
		Thread.sleep(4);
		Web.answer(out, status, "Content-Type: application/json\r\nStore-Era: 1\r\n",
				JSON.writeValueAsBytes(body));
		return true;
	}

	private boolean isSilent(Socket channel) {
		return this.silent.contains(channel);
	}

	private int route(Web.Request request, ObjectNode answer) throws Exception {
		String path = request.path();
		if (path.startsWith("/kv-keep/")) {
			long lease = Long.parseLong(path.substring(9));
			Long time = this.leaseTimes.get(lease);
			if (time == null) {
				return 404;
			}
			this.leaseEnds.put(lease, now() + time);
			answer.put("ttlMs", time);
			return 200;
		}
		if (path.startsWith("/kv-lease-end/")) {
			long lease = Long.parseLong(path.substring(14));
			boolean known = this.leaseTimes.containsKey(lease);
			end(lease);
			return known ? 200 : 404;
		}
		return switch (path) {
			case "/kv-key" -> key(request, answer);
			case "/kv-range" -> range(request, answer);
			case "/kv-watch" -> watch(request, answer);
			case "/kv-txn" -> transact(JSON.readTree(request.body()), answer);
			case "/kv-lease" -> {
				long time = JSON.readTree(request.body()).path("ttlMs").asLong();
				long lease = ++this.nextLease;
				this.leaseTimes.put(lease, time);
				this.leaseEnds.put(lease, now() + time);
				this.record.note("store: gives lease " + lease);
				answer.put("lease", lease).put("ttlMs", time);
				yield 200;
			}
			default -> 404;
		};
	}

	private int key(Web.Request request, ObjectNode answer) {
		Item item = this.items.get(request.parameter("key", ""));
		answer.put("storeRevision", this.revision);
		if (item == null) {
			return 404;
		}
		answer.setAll(encode(item));
		return 200;
	}

	private int range(Web.Request request, ObjectNode answer) {
		String prefix = request.parameter("prefix", "");
		ArrayNode list = answer.putArray("items");
		for (Item item : this.items.values()) {
			if (item.key().startsWith(prefix) && item.key().compareTo(request.parameter("after", "")) > 0) {
				list.add(encode(item));
			}
		}
		answer.put("morePages", false).put("storeRevision", this.revision);
		return 200;
	}

	private int watch(Web.Request request, ObjectNode answer) throws InterruptedException {
		String prefix = request.parameter("prefix", "");
		long after = Long.parseLong(request.parameter("after", "0"));
		long until = now() + Long.parseLong(request.parameter("waitMs", "0"));
		if (after < this.oldest || after > this.revision) {
			return 410;
		}
		ArrayNode list = answer.putArray("events");
		while (true) {
			for (Change change : this.changes) {
				if (change.revision() > after && change.key().startsWith(prefix)) {
					if (change.item() != null) {
						list.add(encode(change.item()));
					}
					else {
						list.addObject().put("key", change.key()).put("revision", change.revision()).put("deleted", true);
					}
				}
			}
			long left = until - now();
			if (!list.isEmpty() || left <= 0) {
				answer.put("storeRevision", this.revision);
				return 200;
			}
			wait(left);
		}
	}

	private int transact(JsonNode call, ObjectNode answer) {
		boolean holds = true;
		for (JsonNode row : call.path("expected")) {
			Item item = this.items.get(row.path("key").asText());
			holds &= row.path("revision").asLong() == ((item != null) ? item.revision() : 0);
		}
		if (!holds) {
			ArrayNode current = answer.putArray("items");
			for (JsonNode row : call.path("expected")) {
				Item item = this.items.get(row.path("key").asText());
				if (item != null) {
					current.add(encode(item));
				}
			}
			answer.put("storeRevision", this.revision);
			return 412;
		}
		for (JsonNode put : call.path("setKeys")) {
			long lease = put.path("lease").asLong();
			if (lease != 0 && !this.leaseTimes.containsKey(lease)) {
				return 404;
			}
		}
		for (JsonNode put : call.path("setKeys")) {
			String key = put.path("key").asText();
			byte[] value = Base64.getDecoder().decode(put.path("value").asText());
			write(key, value, put.path("lease").asLong());
			if (key.contains("/duty/")) {
				this.record.note("store: " + key + " written at " + this.revision + " under lease "
						+ put.path("lease").asLong() + ": " + new String(value, StandardCharsets.UTF_8));
			}
		}
		call.path("remove").forEach((key) -> delete(key.asText()));
		notifyAll();
		answer.put("revision", this.revision);
		return 200;
	}

	@Override
	public void close() {
		this.web.close();
		closeChannels();
	}

}
