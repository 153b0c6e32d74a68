package org.masticshelf.serving.request;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.retry.RetryBudget;

/**
 * The retry budgets of all pools. Safe for use by several threads.
 */
public final class RetryBudgets {

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	/**
	 * Notes a new request, which pays for a share of a retry.
	 * @param pool the pool
	 */
	public synchronized void recordRequest(String pool) {
		budget(pool).requested();
	}

	/**
	 * Notes how an exchange with an endpoint ended.
	 * @param pool the pool
	 * @param answered whether it brought a whole answer
	 */
	public synchronized void recordExchange(String pool, boolean answered) {
		if (answered) {
			budget(pool).succeeded();
		}
		else {
			budget(pool).failed();
		}
	}

	/**
	 * Takes a retry.
	 * @param pool the pool
	 * @return whether it is permitted
	 */
	public synchronized boolean tryTake(String pool) {
		return budget(pool).tryTake();
	}

	private RetryBudget budget(String pool) {
		return this.budgets.computeIfAbsent(pool, (key) -> new RetryBudget());
	}

}
