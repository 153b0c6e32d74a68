package org.masticshelf.kernel.residency;

import java.util.List;

import org.masticshelf.kernel.serving.LoadableName;

/**
 * An order for an engine to load or unload something. Implementations are immutable.
 */
public sealed interface ResidencyStep {

	/**
	 * Returns the engine that executes the step.
	 * @return the endpoint's identifier
	 */
	String endpoint();

	/**
	 * Returns what is loaded or unloaded.
	 * @return the model or adapter
	 */
	LoadableName loadable();

	/**
	 * Loads a model or adapter.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param loadable the model or adapter
	 * @param source where the weights are loaded from
	 * @param milliseconds the expected duration of the load
	 * @param victims models to unload first to make room
	 */
	record Load(String endpoint, LoadableName loadable, Source source, long milliseconds,
			List<String> victims) implements ResidencyStep {

		public Load {
			victims = List.copyOf(victims);
		}

	}

	/**
	 * Unloads an adapter.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param loadable the adapter
	 */
	record Unload(String endpoint, LoadableName loadable) implements ResidencyStep {
	}

	/** Where weights are loaded from. */
	enum Source {

		/** The engine's host memory. */
		MEMORY,

		/** The engine's disk. */
		DISK,

		/** The weight store. */
		STORE

	}

}
