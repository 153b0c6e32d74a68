package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.retry.RetryBudget;

/**
 * Holds the retry budget of each pool. Thread-safe.
 */
public final class RetryBudgets {

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/**
	 * Records a new request, which adds a fraction of a retry to the budget.
	 * @param pool the pool
	 */
	public synchronized void recordRequest(String pool) {
		budget(pool).recordRequest();
	}

	/**
	 * Records the end of an exchange with an endpoint.
	 * @param pool the pool
	 * @param answered whether it returned a complete answer
	 */
	public synchronized void recordExchange(String pool, boolean answered) {
		if (answered) {
			budget(pool).recordSuccess();
		}
		else {
			budget(pool).recordFailure();
		}
	}

	/**
	 * Takes a retry from the budget if one is available.
	 * @param pool the pool
	 * @return whether the retry is permitted
	 */
	public synchronized boolean tryTake(String pool) {
		return budget(pool).tryAcquire();
	}

	private RetryBudget budget(String pool) {
		return this.budgets.computeIfAbsent(pool, (key) -> new RetryBudget());
	}

}
