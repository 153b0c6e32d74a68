package org.masticshelf.kernel.port;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Pool;

/**
 * A model engine: takes orders to load and unload, reports its load, and generates.
 * <p>
 * Implementations are safe for use by several threads and hold no state about endpoints
 * beyond connections.
 */
public interface Engine extends AutoCloseable {

	/**
	 * Sends an order. The answer comes when the engine has taken or refused the order;
	 * loading goes on afterwards and is seen in {@link #report}.
	 * @param endpoint the endpoint
	 * @param order the order
	 * @return the engine's answer; the future fails with an {@link ExchangeFailure} if
	 * there was none
	 */
	CompletableFuture<OrderAnswer> order(Pool.Endpoint endpoint, Order order);

	/**
	 * Reads what an engine has loaded and how busy it is.
	 * @param endpoint the endpoint
	 * @return the report; the future fails with an {@link ExchangeFailure} if there was
	 * none
	 */
	CompletableFuture<Report> report(Pool.Endpoint endpoint);

	/**
	 * Runs a generation.
	 * @param endpoint the endpoint
	 * @param generation what to generate
	 * @param sink receives the answer in order; exactly one of its ending methods is
	 * called
	 * @return cancels the work at the engine when run
	 */
	Cancellation generate(Pool.Endpoint endpoint, Generation generation, AnswerSink sink);

	@Override
	void close();

	/** Cancels running work. */
	@FunctionalInterface
	interface Cancellation {

		/** Cancels; has no effect once the work has ended. */
		void cancel();

	}

	/**
	 * A generation to run.
	 *
	 * @param requestIdentifier the identity that the answer has to carry
	 * @param engineModel the model or {@code model:adapter} by the engine's name
	 * @param path the path of the call, {@code /v1/chat/completions} or
	 * {@code /v1/completions}
	 * @param body the caller's body, with its model replaced and no key in it
	 * @param stream whether the answer is streamed
	 * @param priority 0 or more, lower is served first
	 * @param timeout how long to wait for the end
	 * @param resumeAfterTokens how many tokens of this request are already known, 0 for a
	 * new generation
	 */
	record Generation(String requestIdentifier, String engineModel, String path, ObjectNode body, boolean stream,
			int priority, Duration timeout, int resumeAfterTokens) {
	}

	/** Receives the answer to a generation. Called by one thread at a time. */
	interface AnswerSink {

		/**
		 * Called for each streamed piece, in order.
		 * @param chunk the parsed data of the event
		 * @param tokens how many tokens the piece holds
		 */
		void chunk(ObjectNode chunk, int tokens);

		/**
		 * Called once when the answer is complete.
		 * @param answer the whole answer of an unstreamed generation, {@code null} after
		 * a stream
		 * @param usage the counted tokens
		 */
		void complete(@Nullable ObjectNode answer, Usage usage);

		/**
		 * Called once when there will be no whole answer.
		 * @param failure where and why the exchange ended
		 */
		void failed(ExchangeFailure failure);

	}

	/**
	 * Tokens counted by the engine.
	 *
	 * @param promptTokens tokens of the prompt
	 * @param generatedTokens tokens generated
	 */
	record Usage(long promptTokens, long generatedTokens) {
	}

	/**
	 * An order.
	 *
	 * @param action what to do
	 * @param name the model or {@code model:adapter} by the engine's name
	 * @param memoryBytes the memory that it takes
	 * @param fencing the fencing number of the duty under which the order is given
	 */
	record Order(Action action, String name, long memoryBytes, long fencing) {
	}

	/** What an order asks for. */
	enum Action {

		/** Load a model or adapter; has no effect if it is loaded or loading. */
		LOAD,

		/** Unload; has no effect if it is not loaded. */
		UNLOAD

	}

	/**
	 * The answer to an order.
	 *
	 * @param accepted whether the engine took it
	 * @param reason why not, or {@code null}
	 */
	record OrderAnswer(boolean accepted, @Nullable String reason) {
	}

	/**
	 * The state of an engine.
	 *
	 * @param items what is loaded or loading
	 * @param cached names whose weights lie in memory or on disk, with the level
	 * @param running requests that run
	 * @param waiting requests that wait
	 * @param memoryBytes the total memory for models and adapters in bytes
	 * @param highestFencing the highest fencing number seen
	 */
	record Report(List<Item> items, List<Cached> cached, int running, int waiting, long memoryBytes,
			long highestFencing) {
	}

	/**
	 * A loaded or loading model or adapter.
	 *
	 * @param name the engine's name
	 * @param state how far it is
	 * @param memoryBytes the memory that it takes
	 */
	record Item(String name, ItemState state, long memoryBytes) {
	}

	/** How far a load is. */
	enum ItemState {

		/** Weights are being fetched. */
		LOADING,

		/** Serves requests. */
		LOADED

	}

	/**
	 * Cached weights.
	 *
	 * @param name the engine's name
	 * @param level where the weights lie
	 */
	record Cached(String name, CacheLevel level) {
	}

	/** Where weights lie, cheapest first. */
	enum CacheLevel {

		/** In host memory. */
		MEMORY,

		/** On the endpoint's disk. */
		DISK,

		/** Only in the weight store. */
		REMOTE

	}

}
