package org.masticshelf.kernel.configuration;

/**
 * An organisation and its grant over all instances together.
 * <p>
 * Immutable.
 *
 * @param name the name, qualified by the workshop whose routes it may call
 * @param tokensPerSecond the rate of the grant in tokens a second
 * @param burstTokens the burst of the grant in tokens
 * @param weight the share in queueing relative to other organisations, 1 or more
 */
public record Organisation(QualifiedName name, long tokensPerSecond, long burstTokens, int weight) {
}
