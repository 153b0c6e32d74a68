package org.masticshelf.kernel.configuration;

import org.jspecify.annotations.Nullable;

/**
 * A model, or an adapter of a model, that an endpoint of a pool can load.
 * <p>
 * Immutable.
 *
 * @param pool the pool whose endpoints can load it
 * @param model the model
 * @param adapter the adapter, or {@code null} for the bare model
 */
public record Loadable(QualifiedName pool, String model, @Nullable String adapter) {

	/**
	 * Returns the model that this loadable needs.
	 * @return this loadable without its adapter
	 */
	public Loadable withoutAdapter() {
		return (this.adapter != null) ? new Loadable(this.pool, this.model, null) : this;
	}

	/**
	 * Returns whether this is an adapter.
	 * @return {@code true} for an adapter and {@code false} for a bare model
	 */
	public boolean isAdapter() {
		return this.adapter != null;
	}

	/**
	 * Returns the name that engines know this loadable by.
	 * @return {@code model} or {@code model:adapter}
	 */
	public String engineName() {
		return (this.adapter != null) ? this.model + ":" + this.adapter : this.model;
	}

	@Override
	public String toString() {
		return this.pool + "/" + engineName();
	}

}
