package org.masticshelf.kernel.grant;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Represents a daemon's report and request to the keeper of an organisation's grant.
 * <p>
 * Invariant: slice reports are cumulative and may be repeated; a credit counts only in
 * the request that carries it. Immutable.
 *
 * @param organisation the organisation
 * @param sequence the number of this request, incremented by one for each of the daemon's
 * requests for the organisation
 * @param acknowledged the highest sequence whose answer the daemon accepted; it will
 * accept no answer between that one and this request's
 * @param fencing the fencing number of the keeper that the mark and credits belong to, 0
 * for none
 * @param mark the mark of the last accepted answer
 * @param lendMilliseconds how long, counted from the mark, the daemon lends its allotment
 * to the keeper, 0 for no loan
 * @param slices the state of the slices that the keeper may still count as outstanding
 * @param credits the tokens that are returned
 * @param minimumTokens the tokens that the first waiting request lacks; fewer are of no
 * use now
 * @param wantedTokens the requested tokens, including the minimum
 * @param leaving whether the daemon will never spend again for the organisation
 */
public record GrantRequest(QualifiedName organisation, long sequence, long acknowledged, long fencing, long mark,
		long lendMilliseconds, List<SliceReport> slices, List<Credit> credits, long minimumTokens, long wantedTokens,
		boolean leaving) {

	/**
	 * Creates a request.
	 */
	public GrantRequest {
		slices = copyOf(slices);
		credits = copyOf(credits);
	}

	private static <T> List<T> copyOf(@Nullable List<T> list) {
		return (list != null) ? List.copyOf(list) : List.of();
	}

	/**
	 * Reports the use of one slice so far.
	 *
	 * @param sequence the sequence of the exchange that granted the slice
	 * @param spentTokens the tokens charged from it, settled or not
	 * @param returnedTokens the tokens that the daemon returns unspent
	 */
	public record SliceReport(long sequence, long spentTokens, long returnedTokens) {
	}

	/**
	 * Represents tokens that belong in the keeper's bucket as of a mark.
	 *
	 * @param mark a mark of the keeper that the request's fencing number identifies
	 * @param tokens the tokens
	 */
	public record Credit(long mark, long tokens) {
	}

	/**
	 * Identifies the daemon that sends requests. At any time at most one running daemon
	 * has a given instance and address.
	 *
	 * @param incarnation the incarnation of the daemon
	 * @param instance the identifier of its instance
	 * @param address the IP number and port of its control listener
	 */
	public record Sender(String incarnation, String instance, String address) {

		/**
		 * Returns whether another daemon has the same instance and address.
		 * @param other the other daemon
		 * @return whether both cannot run at the same time
		 */
		boolean excludes(Sender other) {
			return this.instance.equals(other.instance) && this.address.equals(other.address)
					&& !this.incarnation.equals(other.incarnation);
		}

	}

}
