package org.masticshelf.kernel.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The failure domains that operators have evacuated. Their endpoints get no request and
 * no order.
 * <p>
 * Designed for a whole failure domain that is emptied under load while the key-value
 * service may be down or return from an older copy. Immutable and thread-safe.
 *
 * @param revisions the revision of the key-value service at which each failure domain was
 * evacuated
 */
public record EvacuatedDomains(Map<String, Long> revisions) {

	/** No failure domain is evacuated. */
	public static final EvacuatedDomains NONE = new EvacuatedDomains(Map.of());

	/**
	 * How long an evacuation that is missing from a restored copy stays in force.
	 * Operators write their keys again within this time.
	 */
	public static final long REWRITE_MILLISECONDS = 5_000;

	/** Creates a set of failure domains. */
	public EvacuatedDomains {
		revisions = Map.copyOf(revisions);
	}

	/**
	 * Returns the names of the failure domains.
	 * @return the names
	 */
	public Set<String> names() {
		return this.revisions.keySet();
	}

	/**
	 * Decides which evacuations are in force now that these are listed.
	 * @param previous the evacuations that were in force before
	 * @param sinceRestoreMilliseconds the time since the key-value service returned from
	 * an older copy
	 * @return these, and the previous ones while their keys may still be written again
	 */
	public EvacuatedDomains inForceAfter(EvacuatedDomains previous, long sinceRestoreMilliseconds) {
		if (sinceRestoreMilliseconds >= REWRITE_MILLISECONDS || names().containsAll(previous.names())) {
			return this;
		}
		Map<String, Long> kept = new HashMap<>(previous.revisions);
		kept.putAll(this.revisions);
		return new EvacuatedDomains(kept);
	}

}
