package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of answers that a daemon collects before it passes them on.
 * <p>
 * Answers the load of endpoints that send without end: each answer alone stays within its
 * own bound, but many at a time fill the heap. An answer may hold at most as much as all
 * of them together leave free, so that those without end stop each other and an answer of
 * ordinary size still finds room. Invariant: the sum of what the open accounts count is
 * at most the limit. Thread-safe.
 */
public final class AnswerMemory {

	/** What each answer may hold without being counted. */
	static final long UNCOUNTED_BYTES = 64 * 1024;

	/**
	 * The share of the heap that may be counted. A growing buffer takes three times what
	 * it holds while it is copied.
	 */
	private static final double SHARE_OF_HEAP = 0.125;

	private final long limit;

	private final AtomicLong counted = new AtomicLong();

	/**
	 * Creates a memory in which nothing is held.
	 * @param limit the limit of the counted bytes
	 */
	AnswerMemory(long limit) {
		this.limit = limit;
	}

	/**
	 * Creates a memory for this process.
	 * @return the memory
	 */
	public static AnswerMemory ofHeap() {
		return new AnswerMemory((long) (Runtime.getRuntime().maxMemory() * SHARE_OF_HEAP));
	}

	/**
	 * Opens the account of an answer.
	 * @return the account, which holds nothing
	 */
	Account open() {
		return new Account();
	}

	/**
	 * Returns the bytes that all accounts count.
	 * @return the number of bytes
	 */
	long countedBytes() {
		return this.counted.get();
	}

	/** The account of one answer. Not thread-safe. */
	final class Account implements AutoCloseable {

		private long held;

		private Account() {
		}

		/**
		 * Changes how much is held.
		 * @param bytes the bytes that are collected now
		 * @throws IOException if there is no room for them
		 */
		void hold(long bytes) throws IOException {
			long asked = Math.max(0, bytes - UNCOUNTED_BYTES);
			long change = asked - this.held;
			if (change == 0) {
				return;
			}
			long total = AnswerMemory.this.counted.addAndGet(change);
			if (change > 0 && asked > AnswerMemory.this.limit - total) {
				AnswerMemory.this.counted.addAndGet(-change);
				throw new IOException("no room for an answer of %d bytes beside %d bytes of others, limit %d"
					.formatted(bytes, total - asked, AnswerMemory.this.limit));
			}
			this.held = asked;
		}

		@Override
		public void close() {
			AnswerMemory.this.counted.addAndGet(-this.held);
			this.held = 0;
		}

	}

}
