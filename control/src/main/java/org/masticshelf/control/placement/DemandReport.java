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
 * What one daemon tells the placing daemon of one store: everything that waits there, and
 * now and then everything that runs. Ages are durations, since clocks of two processes
 * are not comparable.
 * <p>
 * Immutable.
 *
 * @param incarnation the daemon
 * @param store the weight store
 * @param waiting all requests that wait at the daemon for models of the store
 * @param uses all use of the store's endpoints by the daemon, or {@code null} if this
 * report is only about what waits
 */
record DemandReport(String incarnation, String store, List<DemandReport.WaitingRequests> waiting,
		@Nullable List<DemandReport.Usage> uses) {

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

	static DemandReport of(JsonNode node) {
		List<DemandReport.WaitingRequests> waiting = new ArrayList<>();
		node.path("waiting").forEach((each) -> waiting.add(DemandReport.WaitingRequests.of(each)));
		List<DemandReport.Usage> uses = node.has("uses") ? new ArrayList<>() : null;
		if (uses != null) {
			node.path("uses").forEach((each) -> uses.add(DemandReport.Usage.of(each)));
		}
		return new DemandReport(node.path("incarnation").asText(), node.path("store").asText(), waiting, uses);
	}

	/**
	 * Requests of one organisation that wait for one loadable at the daemon.
	 *
	 * @param loadable what they need
	 * @param organisation whose they are
	 * @param count how many wait
	 * @param ageMilliseconds how long the oldest has waited
	 */
	record WaitingRequests(Loadable loadable, QualifiedName organisation, int count, long ageMilliseconds) {

		private void writeTo(ObjectNode node) {
			LoadableCodec.write(this.loadable, node)
				.put("organisation", this.organisation.toString())
				.put("count", this.count)
				.put("ageMilliseconds", this.ageMilliseconds);
		}

		private static DemandReport.WaitingRequests of(JsonNode node) {
			return new DemandReport.WaitingRequests(LoadableCodec.read(node),
					QualifiedName.of(node.path("organisation").asText()), node.path("count").asInt(),
					node.path("ageMilliseconds").asLong());
		}

	}

	/**
	 * The daemon's use of a loadable at an endpoint.
	 *
	 * @param endpoint the identifier of the endpoint
	 * @param loadable what is used
	 * @param inFlight requests that run there
	 * @param idleMilliseconds how long ago the last one ended, 0 while one runs
	 */
	record Usage(String endpoint, Loadable loadable, int inFlight, long idleMilliseconds) {

		private void writeTo(ObjectNode node) {
			LoadableCodec.write(this.loadable, node)
				.put("endpoint", this.endpoint)
				.put("inFlight", this.inFlight)
				.put("idleMilliseconds", this.idleMilliseconds);
		}

		private static DemandReport.Usage of(JsonNode node) {
			return new DemandReport.Usage(node.path("endpoint").asText(), LoadableCodec.read(node),
					node.path("inFlight").asInt(), node.path("idleMilliseconds").asLong());
		}

	}

}
