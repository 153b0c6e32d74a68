package org.masticshelf.control.placement;

import java.util.concurrent.CompletionException;

import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * Classifies failures of exchanges with endpoints.
 * <p>
 * Stateless and safe for use by several threads.
 */
final class ExchangeFailures {

	private ExchangeFailures() {
	}

	/**
	 * Returns whether a failure proves that the request had no effect.
	 * @param failure the failure of a future, possibly wrapped in a
	 * {@link CompletionException}
	 * @return whether the request did not run and will not run
	 */
	static boolean provesNotRun(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		return cause instanceof ExchangeFailure exchange && exchange.point().provesNotRun();
	}

}
