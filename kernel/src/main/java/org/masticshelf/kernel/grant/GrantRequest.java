package org.masticshelf.kernel.grant;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * What a daemon reports to the keeper of an organisation and asks of it.
 * <p>
 * Invariant: reports of slices are cumulative and may be repeated; credits count only in
 * the request that carries them. Immutable.
 *
 * @param organisation the organisation
 * @param sequence the number of this request, rising by one with each of the daemon's
 * requests for the organisation
 * @param acknowledged the highest sequence whose answer the daemon accepted; it will
 * accept none of the answers between that one and this request
 * @param fencing the fencing number of the keeper that the mark and credits belong to, 0
 * for none
 * @param mark the mark of the last accepted answer
 * @param lendMilliseconds how long from the mark the daemon's allotment is lent to the
 * keeper, 0 for not at all
 * @param slices the state of slices that the keeper may still count
 * @param credits tokens given back
 * @param minimumTokens what the first waiting request lacks; fewer are of no use now
 * @param wantedTokens what is asked for, the minimum included
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
	 * What became of a slice so far.
	 *
	 * @param sequence the sequence of the exchange that brought the slice
	 * @param spentTokens the tokens charged from it, settled or not
	 * @param returnedTokens the tokens that the daemon gives back unspent
	 */
	public record SliceReport(long sequence, long spentTokens, long returnedTokens) {
	}

	/**
	 * Tokens that should have been in the keeper's bucket since a mark.
	 *
	 * @param mark a mark of the keeper that the request names
	 * @param tokens the tokens
	 */
	public record Credit(long mark, long tokens) {
	}

	/**
	 * The daemon that sends requests. At any time only one running daemon has an instance
	 * and address.
	 *
	 * @param incarnation the incarnation of the daemon
	 * @param instance the identifier of its instance
	 * @param address the IP number and port of its control listener
	 */
	public record Sender(String incarnation, String instance, String address) {

		/**
		 * Returns whether another daemon had the same instance and address.
		 * @param other the other daemon
		 * @return whether both cannot run at the same time
		 */
		boolean excludes(Sender other) {
			return this.instance.equals(other.instance) && this.address.equals(other.address)
					&& !this.incarnation.equals(other.incarnation);
		}

	}

}
