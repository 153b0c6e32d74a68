package org.masticshelf.kernel.placement;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;

/**
 * Represents everything that may occupy memory at one endpoint, as stored in the
 * key-value service.
 * <p>
 * Invariant: whatever may be loaded at the endpoint, or may yet be loaded there by an
 * order in transit, has an entry; each loadable has at most one. Immutable.
 *
 * @param endpoint the identifier of the endpoint
 * @param entries the entries in the order in which they were added
 */
public record EndpointRecord(String endpoint, List<Entry> entries) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Creates a record.
	 */
	public EndpointRecord {
		entries = List.copyOf(entries);
	}

	/**
	 * Creates the record of an endpoint that has nothing loaded.
	 * @param endpoint the identifier of the endpoint
	 * @return the record
	 */
	public static EndpointRecord empty(String endpoint) {
		return new EndpointRecord(endpoint, List.of());
	}

	/**
	 * Reads a record.
	 * @param endpoint the identifier of the endpoint
	 * @param json the form written by {@link #toJson()}
	 * @return the record
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static EndpointRecord of(String endpoint, String json) {
		try {
			List<Entry> entries = new ArrayList<>();
			MAPPER.readTree(json).path("entries").forEach((node) -> entries.add(Entry.of(node)));
			return new EndpointRecord(endpoint, entries);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("malformed record of endpoint " + endpoint, ex);
		}
	}

	/**
	 * Writes this record.
	 * @return the JSON form
	 */
	public String toJson() {
		ObjectNode node = MAPPER.createObjectNode();
		ArrayNode array = node.putArray("entries");
		this.entries.forEach((entry) -> entry.writeTo(array.addObject()));
		return node.toString();
	}

	/**
	 * Returns the memory that is reserved by entries.
	 * @return the bytes of all entries, whatever their state
	 */
	public long reservedBytes() {
		long bytes = 0;
		for (Entry entry : this.entries) {
			bytes += entry.memoryBytes();
		}
		return bytes;
	}

	/**
	 * Finds an entry.
	 * @param loadable the loadable
	 * @return its entry or {@code null} if it has none
	 */
	public @Nullable Entry entry(Loadable loadable) {
		for (Entry entry : this.entries) {
			if (entry.loadable().equals(loadable)) {
				return entry;
			}
		}
		return null;
	}

	/**
	 * Returns a copy with one entry added or replaced.
	 * @param entry the entry
	 * @return the changed record
	 */
	public EndpointRecord with(Entry entry) {
		List<Entry> changed = new ArrayList<>(this.entries);
		changed.removeIf((held) -> held.loadable().equals(entry.loadable()));
		changed.add(entry);
		return new EndpointRecord(this.endpoint, changed);
	}

	/**
	 * Returns a copy without one entry.
	 * @param loadable the loadable of the entry
	 * @return the changed record
	 */
	public EndpointRecord without(Loadable loadable) {
		return new EndpointRecord(this.endpoint,
				this.entries.stream().filter((entry) -> !entry.loadable().equals(loadable)).toList());
	}

	/**
	 * Represents a loadable that may occupy memory.
	 *
	 * @param loadable the model or adapter
	 * @param state the progress of loading or unloading it
	 * @param memoryBytes the memory that it needs
	 * @param sender the duty holder that sends the orders of this entry
	 * @param order the identifier of the intent, unique among all intents
	 * @param earlier the former holders whose orders for this loadable may still arrive;
	 * the entry is neither unloaded nor removed while there are any
	 */
	public record Entry(Loadable loadable, State state, long memoryBytes, Sender sender, String order,
			List<Sender> earlier) {

		/**
		 * Creates an entry.
		 */
		public Entry {
			earlier = List.copyOf(earlier);
		}

		/**
		 * Returns a copy in another state.
		 * @param next the state
		 * @return the changed entry
		 */
		public Entry withState(State next) {
			return new Entry(this.loadable, next, this.memoryBytes, this.sender, this.order, this.earlier);
		}

		/**
		 * Returns a copy whose next orders another holder sends, for use when no order of
		 * the former holder can be in transit.
		 * @param next the holder that sends the orders from now on
		 * @return the changed entry
		 */
		public Entry withSender(Sender next) {
			return new Entry(this.loadable, this.state, this.memoryBytes, next, this.order, this.earlier);
		}

		/**
		 * Returns a copy whose next orders another holder sends, while orders of the
		 * former holder may still arrive.
		 * @param successor the holder that sends the orders from now on
		 * @return the changed entry
		 */
		public Entry withSuccessor(Sender successor) {
			List<Sender> senders = new ArrayList<>(this.earlier);
			if (!senders.contains(this.sender)) {
				senders.add(this.sender);
			}
			senders.remove(successor);
			return new Entry(this.loadable, this.state, this.memoryBytes, successor, this.order, senders);
		}

		/**
		 * Returns a copy without former holders whose orders can no longer arrive.
		 * @param settled the former holders
		 * @return the changed entry
		 */
		public Entry withoutEarlier(List<Sender> settled) {
			List<Sender> senders = new ArrayList<>(this.earlier);
			senders.removeAll(settled);
			return new Entry(this.loadable, this.state, this.memoryBytes, this.sender, this.order, senders);
		}

		private void writeTo(ObjectNode node) {
			LoadableCodec.write(this.loadable, node);
			node.put("state", this.state.name()).put("memoryBytes", this.memoryBytes).put("order", this.order);
			this.sender.writeTo(node.putObject("sender"));
			if (!this.earlier.isEmpty()) {
				ArrayNode array = node.putArray("earlier");
				this.earlier.forEach((each) -> each.writeTo(array.addObject()));
			}
		}

		private static Entry of(JsonNode node) {
			List<Sender> earlier = new ArrayList<>();
			node.path("earlier").forEach((each) -> earlier.add(Sender.of(each)));
			return new Entry(LoadableCodec.read(node), State.valueOf(node.path("state").asText()),
					node.path("memoryBytes").asLong(), Sender.of(node.path("sender")), node.path("order").asText(),
					earlier);
		}

	}

	/**
	 * Identifies a daemon that sends orders under a duty.
	 *
	 * @param incarnation the incarnation of the daemon
	 * @param address the IP number and port of its control listener
	 * @param fencing the fencing number of its tenure
	 */
	public record Sender(String incarnation, String address, long fencing) {

		private void writeTo(ObjectNode node) {
			node.put("incarnation", this.incarnation).put("address", this.address).put("fencing", this.fencing);
		}

		private static Sender of(JsonNode node) {
			return new Sender(node.path("incarnation").asText(), node.path("address").asText(),
					node.path("fencing").asLong());
		}

	}

	/** The progress of a loadable at an endpoint. */
	public enum State {

		/** The intent to load is written; the order may be in transit or accepted. */
		INTENDED,

		/** The endpoint has reported it as loaded and has answered every order for it. */
		LOADED,

		/** The intent to unload is written; the order may be in transit or accepted. */
		UNLOADING,

		/** An order to load it was sent and it is unknown whether it was accepted. */
		DOUBTFUL;

		/**
		 * Returns whether a load is in progress or its outcome unknown.
		 * @return whether it may become loaded
		 */
		public boolean isLoading() {
			return this == INTENDED || this == DOUBTFUL;
		}

	}

}
