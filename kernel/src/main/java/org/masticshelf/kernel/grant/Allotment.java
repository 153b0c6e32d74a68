package org.masticshelf.kernel.grant;

/**
 * Represents a standing allotment as stored in the key-value service.
 * <p>
 * Immutable.
 *
 * @param holder the daemon that may spend it
 * @param partsPerMillion the share of the organisation's rate and burst in parts per
 * million
 */
public record Allotment(GrantRequest.Sender holder, long partsPerMillion) {
}
