package org.masticshelf.kernel.configuration;

/**
 * A reason why tables are not accepted.
 * <p>
 * Immutable.
 *
 * @param path the JSON path of the offending value, for example {@code $.routes[3].pool}
 * @param reason what is wrong with it, in a phrase
 */
public record Mistake(String path, String reason) {

	@Override
	public String toString() {
		return this.path + ": " + this.reason;
	}

}
