package org.masticshelf.daemon.request;

import org.masticshelf.kernel.port.PlainService;
import org.masticshelf.kernel.refusal.Refusal;

/**
 * How a plain call ended. Immutable.
 */
public sealed interface PlainOutcome {

	/**
	 * The service answered.
	 *
	 * @param answer the whole answer
	 */
	record Answered(PlainService.Answer answer) implements PlainOutcome {
	}

	/**
	 * There is no whole answer.
	 *
	 * @param refusal what the caller is told
	 */
	record Refused(Refusal refusal) implements PlainOutcome {
	}

}
