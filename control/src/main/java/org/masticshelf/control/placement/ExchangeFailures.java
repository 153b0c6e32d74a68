package org.masticshelf.control.placement;

import java.util.concurrent.CompletionException;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Reads failures of exchanges.
 * <p>
 * Stateless and safe for use by several threads.
 */
final class ExchangeFailures {

	private ExchangeFailures() {
	}

	/**
	 * Returns whether what was asked for certainly had no effect.
	 * @param failure the failure of a future
	 * @return whether nothing was run and nothing will be
	 */
	static boolean provesNotRun(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		return cause instanceof ExchangeFailure exchange && exchange.point().provesNotRun();
	}

}
