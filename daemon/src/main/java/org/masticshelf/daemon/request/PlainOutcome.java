package org.masticshelf.daemon.request;

import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * The outcome of a plain call. Immutable.
 */
public sealed interface PlainOutcome {

	/**
	 * The service answered.
	 *
	 * @param answer the complete answer
	 */
	record Answered(PlainService.Answer answer) implements PlainOutcome {
	}

	/**
	 * The call ended without a complete answer.
	 *
	 * @param refusal the refusal to send to the caller
	 */
	record Refused(Refusal refusal) implements PlainOutcome {
	}

}
