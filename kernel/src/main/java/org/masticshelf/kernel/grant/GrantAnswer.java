package org.masticshelf.kernel.grant;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * What a keeper gives a daemon.
 * <p>
 * Immutable.
 *
 * @param organisation the organisation
 * @param sequence the sequence of the request
 * @param fencing the fencing number of the keeper's tenure
 * @param mark when the keeper answered, of use only to the same keeper
 * @param sliceTokens tokens to spend within
 * {@link GrantParameters#SLICE_USABLE_NANOSECONDS} of sending the request
 * @param allotmentPartsPerMillion the daemon's standing allotment as a share of rate and
 * burst, 0 for none
 * @param availableTokens what the keeper can still give now
 * @param tokensPerSecond the rate at which the keeper's bucket fills
 * @param waitMilliseconds when the minimum can be given at the earliest, 0 if it was, -1
 * if that is unknown
 */
public record GrantAnswer(QualifiedName organisation, long sequence, long fencing, long mark, long sliceTokens,
		long allotmentPartsPerMillion, long availableTokens, long tokensPerSecond, long waitMilliseconds) {
}
