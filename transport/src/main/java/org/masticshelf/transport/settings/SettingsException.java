package org.masticshelf.transport.settings;

import java.util.List;

/**
 * Thrown when settings are invalid; lists every error. Immutable.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient List<String> mistakes;

	/**
	 * Creates an exception.
	 * @param mistakes one line for each error, with the file, the JSON path and the
	 * reason
	 */
	public SettingsException(List<String> mistakes) {
		super(String.join(System.lineSeparator(), mistakes));
		this.mistakes = List.copyOf(mistakes);
	}

	/**
	 * Returns all errors.
	 * @return one line for each error
	 */
	public List<String> errors() {
		return this.mistakes;
	}

}
