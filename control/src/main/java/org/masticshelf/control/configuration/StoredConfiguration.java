package org.masticshelf.control.configuration;

import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Pages;

/**
 * A complete and consistent configuration as the key-value service holds it.
 * <p>
 * Invariant: the digests of the pages match the manifest and its digest matches the head.
 * Immutable.
 *
 * @param head the head
 * @param headModifyRevision the revision of the service at which the head was written, 0
 * if there is none
 * @param pages the pages
 */
public record StoredConfiguration(Head head, long headModifyRevision, Pages pages) {
}
