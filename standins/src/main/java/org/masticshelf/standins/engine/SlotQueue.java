package org.masticshelf.standins.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;

/**
 * The slots of an engine and the requests that wait for one, lowest priority number
 * first, then in order of arrival.
 * <p>
 * Invariant: no more requests run than there are slots. Safe for use by several threads
 * under its own lock.
 */
final class SlotQueue {

	private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(
			Comparator.comparingInt(Waiter::priority).thenComparingLong(Waiter::arrival));

	private final int slots;

	private int running;

	private long arrivals;

	/**
	 * Creates a queue.
	 * @param slots how many requests run at once
	 */
	SlotQueue(int slots) {
		this.slots = slots;
	}

	/**
	 * Takes a slot, waiting for one.
	 * @param priority the priority, lower is served first
	 * @throws InterruptedException if the wait was cancelled; no slot was taken then
	 */
	void take(int priority) throws InterruptedException {
		Waiter waiter;
		synchronized (this.waiters) {
			if (this.running < this.slots) {
				this.running++;
				return;
			}
			waiter = new Waiter(priority, this.arrivals++, new CountDownLatch(1));
			this.waiters.add(waiter);
		}
		try {
			waiter.ready().await();
		}
		catch (InterruptedException ex) {
			abandon(waiter);
			throw ex;
		}
	}

	private void abandon(Waiter waiter) {
		boolean waited;
		synchronized (this.waiters) {
			waited = this.waiters.remove(waiter);
		}
		if (!waited) {
			giveBack();
		}
	}

	/** Gives a slot back, to the next waiting request if there is one. */
	void giveBack() {
		synchronized (this.waiters) {
			Waiter next = this.waiters.poll();
			if (next != null) {
				next.ready().countDown();
			}
			else {
				this.running--;
			}
		}
	}

	/**
	 * Returns how many requests run.
	 * @return the number of taken slots
	 */
	int running() {
		synchronized (this.waiters) {
			return this.running;
		}
	}

	/**
	 * Returns how many requests wait.
	 * @return the length of the queue
	 */
	int waiting() {
		synchronized (this.waiters) {
			return this.waiters.size();
		}
	}

	private record Waiter(int priority, long arrival, CountDownLatch ready) {
	}

}
