package org.masticshelf.kernel.serving;

import org.jspecify.annotations.Nullable;

/**
 * The name of a model or of an adapter of a model. Immutable.
 *
 * @param model the name of the model
 * @param adapter the name of the adapter, {@code null} for the model itself
 */
public record LoadableName(String model, @Nullable String adapter) {

	/**
	 * Creates the name of a model.
	 * @param model the name of the model
	 * @return the name without an adapter
	 */
	public static LoadableName ofModel(String model) {
		return new LoadableName(model, null);
	}

	/**
	 * Parses the form {@code model} or {@code model/adapter}.
	 * @param text the text to parse
	 * @return the parsed name
	 */
	public static LoadableName parse(String text) {
		int slash = text.indexOf('/');
		return (slash < 0) ? new LoadableName(text, null)
				: new LoadableName(text.substring(0, slash), text.substring(slash + 1));
	}

	@Override
	public String toString() {
		return (this.adapter != null) ? this.model + "/" + this.adapter : this.model;
	}

}
