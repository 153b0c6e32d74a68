package org.masticshelf.control.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * The value of a claim in the key-value service.
 * <p>
 * Immutable.
 *
 * @param attempt the identifier of the attempt that made the claim, by which the attempt
 * recognises it after a lost answer
 * @param incarnation the incarnation of the daemon that made the claim
 * @param fingerprint the digest of the claimed request
 * @param state the state of the request
 * @param outcome the answer if the request is done and the answer is small enough, else
 * {@code null}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonInclude(JsonInclude.Include.NON_NULL)
record ClaimRecord(String attempt, String incarnation, String fingerprint, State state,
		@Nullable RecordedOutcome outcome) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	ClaimRecord withState(State changed, @Nullable RecordedOutcome recorded) {
		return new ClaimRecord(this.attempt, this.incarnation, this.fingerprint, changed, recorded);
	}

	String toJson() {
		try {
			return MAPPER.writeValueAsString(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a claim cannot be written as JSON", ex);
		}
	}

	/**
	 * Parses the value of a claim.
	 * @param value the value
	 * @return the claim, or {@code null} if the value is malformed
	 */
	static @Nullable ClaimRecord parse(String value) {
		try {
			ClaimRecord claim = MAPPER.readValue(value, ClaimRecord.class);
			return (claim != null && claim.isComplete()) ? claim : null;
		}
		catch (JsonProcessingException ex) {
			return null;
		}
	}

	@SuppressWarnings("ConstantValue")
	private boolean isComplete() {
		return this.attempt != null && this.incarnation != null && this.fingerprint != null && this.state != null;
	}

	/** The state of a claimed request. */
	enum State {

		/** The request may be running. */
		RUNNING,

		/** The request ended with an answer that is kept. */
		DONE,

		/** The request ended with an answer that is too large to be kept. */
		NOT_KEPT,

		/** The request ended without an answer and may have run. */
		UNKNOWN

	}

}
