package org.masticshelf.serving;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.serving.EvacuatedDomains;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.serving.ServedTables;
import org.masticshelf.serving.caller.RequestCodec;
import org.masticshelf.serving.placement.EngineOrders;
import org.masticshelf.serving.upstream.EndpointProtocol;

/**
 * The connections of a serving daemon to the platform that it runs on.
 *
 * @param store the key-value service
 * @param desiredState the tables and the list of endpoints
 * @param requests decodes callers' requests
 * @param endpoints the wire format of requests to endpoints and their answers
 * @param orders sends orders to engines
 */
public record ServingPorts(KeyValueStore store, DesiredState desiredState, RequestCodec requests,
		EndpointProtocol endpoints, EngineOrders orders) {

	/** The source of the tables and of the list of endpoints. */
	public interface DesiredState {

		/**
		 * Sets the receiver of the evacuated failure domains. It is called with them
		 * before the first version of the tables is passed on. A source that knows no
		 * evacuations never calls it.
		 * @param evacuations called with the failure domains after each change
		 */
		default void followEvacuations(Consumer<EvacuatedDomains> evacuations) {
		}

		/**
		 * Starts to follow the tables and the list of endpoints.
		 * @param scheduler the scheduler for periodic tasks
		 * @param tables called with each version of the tables
		 * @param endpoints called with each list of endpoints
		 */
		void follow(ScheduledExecutorService scheduler, Consumer<ServedTables> tables,
				Consumer<Collection<ServedEndpoint>> endpoints);

		/**
		 * Reads the entries of endpoints now, rather than from what was read before.
		 * @return the endpoints that the entries describe
		 */
		CompletableFuture<Collection<ServedEndpoint>> readEndpoints();

	}

}
