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

/** The platform's store: items, leases, one revision, watches; it can return from a copy. */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private record Item(String key, byte[] value, long revision, long created, long lease) {
	}

	private record Change(String key, long revision, Item item) {
	}

	/** A copy: everything that the store keeps, the numbers it gives out included. */
	record Copy(long revision, long nextLease, Map<String, Object> items, Map<Long, Long> leases) {
	}

	private TreeMap<String, Item> items = new TreeMap<>();

	private final List<Change> changes = new ArrayList<>();

	private Map<Long, Long> leaseTimes = new HashMap<>();

	private Map<Long, Long> leaseEnds = new HashMap<>();

	private long revision = 100;

	private long nextLease = 77_000;

	private long era = 1;

	private long oldest = 100;

	private boolean away;

	private long lastAsked;

	private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

	/** Channels from before the last return. */
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

	synchronized Copy copy() {
		return new Copy(this.revision, this.nextLease, new TreeMap<>(this.items), new HashMap<>(this.leaseTimes));
	}

	/**
	 * Goes away as a machine does that loses its power: its channels, and those opened meanwhile, are silent for good.
	 */
	synchronized void goAway() {
		this.away = true;
		notifyAll();
	}

	/** Returns from a copy; what lies under the prefixes of other writers is written again. */
	void comeBack(Copy copy) {
		synchronized (this) {
			TreeMap<String, Item> before = this.items;
			this.items = new TreeMap<>();
			copy.items().forEach((key, item) -> this.items.put(key, (Item) item));
			this.leaseTimes = new HashMap<>(copy.leases());
			this.leaseEnds = new HashMap<>();
			this.leaseTimes.forEach((lease, time) -> this.leaseEnds.put(lease, now() + time));
			this.revision = copy.revision();
			this.nextLease = copy.nextLease();
			this.changes.clear();
			this.oldest = this.revision;
			this.era++;
			before.forEach((key, item) -> {
				if (key.startsWith("op/") || key.startsWith("servers/")) {
					write(key, item.value(), 0);
				}
			});
			this.silent.addAll(this.channels);
			this.away = false;
			notifyAll();
		}
		this.record.note("store: back from a copy, era " + this.era);
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
				// Leases pause while the store is away.
				if (!this.away) {
					for (Long lease : List.copyOf(this.leaseEnds.keySet())) {
						if (this.leaseEnds.get(lease) < now()) {
							end(lease);
						}
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
		long answerEra;
		synchronized (this) {
			if (isSilent(socket)) {
				if (this.away && request.path().startsWith("/kv-keep/")) {
					this.lastAsked = Long.parseLong(request.path().substring(9));
					notifyAll();
				}
				return true;
			}
			long begunIn = this.era;
			status = route(request, body);
			answerEra = this.era;
			if (isSilent(socket) || answerEra != begunIn) {
				return true;
			}
		}
		// The store takes 4 ms for an answer.
		Thread.sleep(4);
		Web.answer(out, status, "Content-Type: application/json\r\nStore-Era: " + answerEra + "\r\n",
				JSON.writeValueAsBytes(body));
		return true;
	}

	/** The lease that a key is bound to, 0 for none. */
	synchronized long leaseOf(String key) {
		Item item = this.items.get(key);
		return (item != null) ? item.lease() : 0;
	}

	/** Waits, while away, until a renewal of a lease has arrived that gets no answer. */
	synchronized boolean awaitRenewal(long lease, long milliseconds) throws InterruptedException {
		this.lastAsked = 0;
		long until = now() + milliseconds;
		while (this.lastAsked != lease) {
			long left = until - now();
			if (left <= 0) {
				return false;
			}
			wait(left);
		}
		return true;
	}

	private boolean isSilent(Socket channel) {
		return this.away || this.silent.contains(channel);
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
				this.record.note("store: gives lease " + lease + " in era " + this.era);
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
		long begunIn = this.era;
		if (after < this.oldest || after > this.revision) {
			return 410;
		}
		ArrayNode list = answer.putArray("events");
		while (true) {
			if (this.away || this.era != begunIn) {
				return 200;
			}
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
