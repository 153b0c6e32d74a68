package org.masticshelf.ctl;

import java.util.List;

/**
 * Ends a command that cannot go on. Immutable.
 */
public final class CommandFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final String outcome;

	/**
	 * Creates a failure.
	 * @param outcome the failure in one word, such as {@code unavailable}
	 * @param message what happened and what was not done
	 */
	public CommandFailure(String outcome, String message) {
		super(message);
		this.outcome = outcome;
	}

	/**
	 * Returns this failure as a report.
	 * @return the report
	 */
	public Report toReport() {
		return Report.failure(this.outcome, List.of(String.valueOf(getMessage())));
	}

}
