package org.masticshelf.kernel.residency;

import java.util.List;

import org.masticshelf.kernel.serving.LoadableName;

/**
 * An order that an engine is to be given. Implementations are immutable.
 */
public sealed interface ResidencyStep {

	/**
	 * Returns the engine that is to carry it out.
	 * @return the endpoint's identifier
	 */
	String endpoint();

	/**
	 * Returns what the step is about.
	 * @return the model or adapter
	 */
	LoadableName loadable();

	/**
	 * Loads a model or adapter.
	 *
	 * @param endpoint the endpoint's identifier
	 * @param loadable the model or adapter
	 * @param source where its weights come from
	 * @param milliseconds how long it is expected to take
	 * @param victims models to unload first, so that it fits
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

	/** Where weights come from. */
	enum Source {

		/** The endpoint's host memory. */
		MEMORY,

		/** The endpoint's disk. */
		DISK,

		/** The weight store. */
		STORE

	}

}
