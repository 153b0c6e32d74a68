package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.placement.LoadableCodec;

/**
 * The demand that one daemon reports to the holder of one store's placement duty: all
 * waiting requests and, at longer intervals, all running ones. Ages are durations because
 * the clocks of two processes are not comparable.
 * <p>
 * Immutable.
 *
 * @param incarnation the incarnation of the daemon
 * @param store the weight store
 * @param waiting all requests that wait at the daemon for models or adapters of the store
 * @param uses the daemon's use of all endpoints of the store, or {@code null} if the
 * report covers waiting requests only
 */
record DemandReport(String incarnation, String store, List<WaitingRequests> waiting, @Nullable List<Usage> uses) {

	ObjectNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode()
			.put("incarnation", this.incarnation)
			.put("store", this.store);
		ArrayNode waitingNode = node.putArray("waiting");
		this.waiting.forEach((each) -> each.writeTo(waitingNode.addObject()));
		if (this.uses != null) {
			ArrayNode usesNode = node.putArray("uses");
			this.uses.forEach((each) -> each.writeTo(usesNode.addObject()));
		}
		return node;
	}

	static DemandReport fromJson(JsonNode node) {
		List<WaitingRequests> waiting = new ArrayList<>();
		node.path("waiting").forEach((each) -> waiting.add(WaitingRequests.fromJson(each)));
		List<Usage> uses = node.has("uses") ? new ArrayList<>() : null;
		if (uses != null) {
			node.path("uses").forEach((each) -> uses.add(Usage.fromJson(each)));
		}
		return new DemandReport(node.path("incarnation").asText(), node.path("store").asText(), waiting, uses);
	}

	/**
	 * Requests of one organisation that wait for one loadable at the daemon.
	 *
	 * @param loadable the model or adapter that they need
	 * @param organisation the organisation that sent them
	 * @param count the number of waiting requests
	 * @param ageMilliseconds how long the oldest one has waited
	 */
	record WaitingRequests(Loadable loadable, QualifiedName organisation, int count, long ageMilliseconds) {

		private void writeTo(ObjectNode node) {
			LoadableCodec.write(this.loadable, node)
				.put("organisation", this.organisation.toString())
				.put("count", this.count)
				.put("ageMilliseconds", this.ageMilliseconds);
		}

		private static WaitingRequests fromJson(JsonNode node) {
			return new WaitingRequests(LoadableCodec.read(node), QualifiedName.of(node.path("organisation").asText()),
					node.path("count").asInt(), node.path("ageMilliseconds").asLong());
		}

	}

	/**
	 * The daemon's use of a loadable at an endpoint.
	 *
	 * @param endpoint the identifier of the endpoint
	 * @param loadable the model or adapter in use
	 * @param inFlight the number of requests that run there
	 * @param idleMilliseconds how long ago the last request ended, 0 while one runs
	 */
	record Usage(String endpoint, Loadable loadable, int inFlight, long idleMilliseconds) {

		private void writeTo(ObjectNode node) {
			LoadableCodec.write(this.loadable, node)
				.put("endpoint", this.endpoint)
				.put("inFlight", this.inFlight)
				.put("idleMilliseconds", this.idleMilliseconds);
		}

		private static Usage fromJson(JsonNode node) {
			return new Usage(node.path("endpoint").asText(), LoadableCodec.read(node), node.path("inFlight").asInt(),
					node.path("idleMilliseconds").asLong());
		}

	}

}
