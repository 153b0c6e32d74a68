package org.masticshelf.bench.path;

import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered, and measures
 * from when each was due. Used by one thread.
 */
final class OpenLoop {

	private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

	private static final long HIGHEST_NANOSECONDS = 60 * NANOSECONDS_PER_SECOND;

	private static final int STATUS_OK = 200;

	private final HttpClient client;

	OpenLoop(HttpClient client) {
		this.client = client;
	}

	Result run(HttpCall call, int rate, int seconds) throws InterruptedException {
		int count = rate * seconds;
		Histogram latencies = new ConcurrentHistogram(HIGHEST_NANOSECONDS, 3);
		AtomicLong failed = new AtomicLong();
		CountDownLatch open = new CountDownLatch(count);
		long begun = System.nanoTime();
		for (int index = 0; index < count; index++) {
			long due = begun + index * NANOSECONDS_PER_SECOND / rate;
			await(due);
			this.client.exchange(call).whenComplete((answer, failure) -> {
				if (failure != null || answer.status() != STATUS_OK) {
					failed.incrementAndGet();
				}
				latencies.recordValue(Math.min(HIGHEST_NANOSECONDS, System.nanoTime() - due));
				open.countDown();
			});
		}
		open.await(60, TimeUnit.SECONDS);
		return new Result(count, failed.get() + open.getCount(), latencies);
	}

	private static void await(long due) {
		long left = due - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = due - System.nanoTime();
		}
	}

	/**
	 * What was measured.
	 *
	 * @param sent how many requests were sent
	 * @param failed how many brought no answer with status 200
	 * @param latencies nanoseconds from when a request was due to the end of its answer
	 */
	record Result(long sent, long failed, Histogram latencies) {

		void print(int rate, String way) {
			System.out.println(String.format(Locale.ROOT, "%6d  %-7s %7d %7d %8.3f %8.3f %8.3f", rate, way, this.sent,
					this.failed, milliseconds(50), milliseconds(99), milliseconds(100)));
		}

		private double milliseconds(double percentile) {
			return this.latencies.getValueAtPercentile(percentile) / 1e6;
		}

	}

}
