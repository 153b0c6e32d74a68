package org.masticshelf.control.claim;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The answer to a non-idempotent request, kept for callers that repeat the request.
 * <p>
 * Immutable as long as the body array is not modified.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if there is none
 * @param body the body
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record RecordedOutcome(int status, String contentType, byte[] body) {

	/** The largest body that is kept, in bytes. */
	public static final int MAXIMUM_BODY_BYTES = 16_384;

	/**
	 * Returns whether this outcome is small enough to be kept.
	 * @return whether the body is within {@link #MAXIMUM_BODY_BYTES_LIMIT}
	 */
	@JsonIgnore
	public boolean isKept() {
		return this.body.length <= MAXIMUM_BODY_BYTES;
	}

}
