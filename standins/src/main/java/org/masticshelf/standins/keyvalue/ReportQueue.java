package org.masticshelf.standins.keyvalue;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jspecify.annotations.Nullable;

/**
 * Runs reports one after the other in the order in which they were added, on whichever
 * thread drains the queue.
 * <p>
 * Invariant: no two reports run at the same time. Safe for use by several threads; no
 * lock is held while a report runs.
 */
final class ReportQueue {

	private final Deque<Runnable> reports = new ArrayDeque<>();

	private boolean running;

	/**
	 * Adds a report.
	 * @param report the report
	 */
	synchronized void add(Runnable report) {
		this.reports.add(report);
	}

	/**
	 * Runs the waiting reports, unless another thread, or a caller of this method further
	 * up, is running them.
	 */
	void drain() {
		Runnable next = begin();
		while (next != null) {
			try {
				next.run();
			}
			finally {
				end();
			}
			next = begin();
		}
	}

	private synchronized @Nullable Runnable begin() {
		if (this.running || this.reports.isEmpty()) {
			return null;
		}
		this.running = true;
		return this.reports.removeFirst();
	}

	private synchronized void end() {
		this.running = false;
	}

}
