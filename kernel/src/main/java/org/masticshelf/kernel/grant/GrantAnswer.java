package org.masticshelf.kernel.grant;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Represents a keeper's answer to a {@link GrantRequest}.
 * <p>
 * Immutable.
 *
 * @param organisation the organisation
 * @param sequence the sequence of the request
 * @param fencing the fencing number of the keeper's tenure
 * @param mark when the keeper answered, on its own clock; meaningful only to the same
 * keeper
 * @param sliceTokens the tokens of a new slice, to be spent within
 * {@link GrantParameters#SLICE_USABLE_NANOSECONDS} of sending the request
 * @param allotmentPartsPerMillion the daemon's standing allotment as a share of rate and
 * burst, 0 for none
 * @param availableTokens the tokens that the keeper can still give out now
 * @param tokensPerSecond the rate at which the keeper's bucket fills
 * @param waitMilliseconds how long it takes at least until the minimum can be given, 0 if
 * it was given, -1 if unknown
 */
public record GrantAnswer(QualifiedName organisation, long sequence, long fencing, long mark, long sliceTokens,
		long allotmentPartsPerMillion, long availableTokens, long tokensPerSecond, long waitMilliseconds) {
}
