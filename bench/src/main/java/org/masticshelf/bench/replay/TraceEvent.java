package org.masticshelf.bench.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

/**
 * A line of a trace after the first.
 * <p>
 * Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "request"),
		@JsonSubTypes.Type(value = TraceEvent.EndpointLost.class, name = "endpoint_lost"),
		@JsonSubTypes.Type(value = TraceEvent.EndpointBack.class, name = "endpoint_back"),
		@JsonSubTypes.Type(value = TraceEvent.StoreSpeed.class, name = "store_speed") })
public sealed interface TraceEvent {

	/**
	 * Returns when it happens.
	 * @return milliseconds from the start of the trace
	 */
	long at();

	/**
	 * A request arrives at an entry instance.
	 *
	 * @param at milliseconds from the start
	 * @param identifier the identity of the request
	 * @param organisation the organisation
	 * @param model the model
	 * @param adapter the adapter or {@code null} for the bare model
	 * @param router the number of the entry instance
	 * @param promptTokens the length of the prompt
	 * @param requestedTokens the most tokens that may be generated
	 * @param outputTokens the tokens that are generated
	 * @param deadlineMilliseconds the time that the caller waits
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Request(long at, long identifier, String organisation, String model, @Nullable String adapter, int router,
			int promptTokens, int requestedTokens, int outputTokens, long deadlineMilliseconds) implements TraceEvent {

		/**
		 * Returns what the grant is charged with at first.
		 * @return prompt and requested tokens
		 */
		public long costTokens() {
			return (long) this.promptTokens + this.requestedTokens;
		}

		/**
		 * Returns what was used in the end.
		 * @return prompt and generated tokens
		 */
		public long usedTokens() {
			return (long) this.promptTokens + this.outputTokens;
		}

	}

	/**
	 * An endpoint is gone with all that it ran and held.
	 *
	 * @param at milliseconds from the start
	 * @param endpoint the identifier
	 */
	record EndpointLost(long at, String endpoint) implements TraceEvent {
	}

	/**
	 * An endpoint is back, empty.
	 *
	 * @param at milliseconds from the start
	 * @param endpoint the identifier
	 */
	record EndpointBack(long at, String endpoint) implements TraceEvent {
	}

	/**
	 * The weight store changes its speed.
	 *
	 * @param at milliseconds from the start
	 * @param factor the share of its usual speed
	 */
	record StoreSpeed(long at, double factor) implements TraceEvent {
	}

}
