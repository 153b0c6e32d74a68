package org.masticshelf.kernel.placement;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.Engine;

/**
 * Represents the planner's decision on one loadable.
 */
public sealed interface PlacementDecision {

	/**
	 * Returns the loadable that the decision concerns.
	 * @return the loadable
	 */
	Loadable loadable();

	/**
	 * Returns the log event of this decision.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * Loads a model or adapter at an endpoint.
	 *
	 * @param loadable what to load
	 * @param endpoint the identifier of the endpoint
	 * @param memoryBytes the memory that it needs
	 * @param level where the weights are cached
	 * @param organisation the organisation that has waited longest for it, or
	 * {@code null} for a speculative load
	 * @param reason why it is loaded
	 */
	record Load(Loadable loadable, String endpoint, long memoryBytes, Engine.CacheLevel level,
			@Nullable QualifiedName organisation, Reason reason) implements PlacementDecision {

		/**
		 * Returns whether the load counts towards the limits of the weight store.
		 * @return whether it is a model that is not cached at the endpoint
		 */
		public boolean isFromStore() {
			return !this.loadable.isAdapter() && this.level == Engine.CacheLevel.REMOTE;
		}

		@Override
		public Event toEvent() {
			return Event.named("placement.load")
				.with("loadable", this.loadable)
				.with("endpoint", this.endpoint)
				.with("memory_bytes", this.memoryBytes)
				.with("level", this.level)
				.with("organisation", this.organisation)
				.with("reason", this.reason);
		}

	}

	/**
	 * Unloads a model or adapter from an endpoint.
	 *
	 * @param loadable what to unload
	 * @param endpoint the identifier of the endpoint
	 * @param reason why it is unloaded
	 */
	record Unload(Loadable loadable, String endpoint, Reason reason) implements PlacementDecision {

		@Override
		public Event toEvent() {
			return Event.named("placement.unload")
				.with("loadable", this.loadable)
				.with("endpoint", this.endpoint)
				.with("reason", this.reason);
		}

	}

	/**
	 * Keeps the present replicas: requests wait, but enough replicas are loaded.
	 *
	 * @param loadable what is kept
	 * @param replicas the number of serving replicas
	 */
	record Keep(Loadable loadable, int replicas) implements PlacementDecision {

		@Override
		public Event toEvent() {
			return Event.named("placement.keep").with("loadable", this.loadable).with("replicas", this.replicas);
		}

	}

	/**
	 * Postpones a load.
	 *
	 * @param loadable what requests wait for
	 * @param reason what the load waits for
	 * @param readyInMilliseconds the estimated time until it is loaded, or
	 * {@link #UNKNOWN_MILLISECONDS}
	 */
	record Wait(Loadable loadable, Reason reason, long readyInMilliseconds) implements PlacementDecision {

		/** No estimate can be given. */
		public static final long UNKNOWN_MILLISECONDS = Long.MAX_VALUE;

		@Override
		public Event toEvent() {
			boolean known = this.readyInMilliseconds != UNKNOWN_MILLISECONDS;
			return Event.named("placement.wait")
				.with("loadable", this.loadable)
				.with("reason", this.reason)
				.with("ready_in_ms", known ? this.readyInMilliseconds : null);
		}

	}

	/** Why something is loaded, unloaded or waited for. */
	enum Reason {

		/** Requests wait and no replica serves. */
		WAKE,

		/** Requests keep waiting although replicas serve. */
		SCALE_UP,

		/** Fewer replicas are loaded than the minimum. */
		MINIMUM_REPLICAS,

		/** It was unused for longer than its idle time. */
		IDLE,

		/** Its memory is needed for something that requests wait for. */
		EVICTED,

		/** Its endpoint is leaving. */
		ENDPOINT_LEAVING,

		/** No pool of the store is configured with it. */
		NOT_CONFIGURED,

		/** More replicas are loaded than the maximum. */
		SURPLUS,

		/** A load of it is in progress. */
		LOADING,

		/** An adapter waits for its model. */
		MODEL_LOADING,

		/** The weight store admits no more loads now. */
		STORE_BUSY,

		/** No endpoint has memory that could be freed. */
		NO_MEMORY,

		/** Memory for it is being freed. */
		MEMORY_BEING_FREED,

		/** The maximum number of replicas exists. */
		MAXIMUM_REPLICAS,

		/** No endpoint of its pool is in service. */
		NO_ENDPOINT

	}

}
