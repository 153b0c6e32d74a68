package org.masticshelf.kernel.grant;

/**
 * A standing allotment as it is kept in the key-value service.
 * <p>
 * Immutable.
 *
 * @param holder the daemon that may spend it
 * @param partsPerMillion the share of rate and burst in parts per million
 */
public record Allotment(GrantRequest.Sender holder, long partsPerMillion) {
}
