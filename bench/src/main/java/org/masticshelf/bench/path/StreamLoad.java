package org.masticshelf.bench.path;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.masticshelf.kernel.port.ExchangeFailure;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.ResponseListener;

/**
 * Opens many streams at once and counts the tokens of each. Used by one thread.
 */
final class StreamLoad {

	private static final long TIMEOUT_SECONDS = 120;

	private static final String TOKEN = "\"content\":\"";

	private final HttpClient client;

	private final int tokens;

	StreamLoad(HttpClient client, int tokens) {
		this.client = client;
		this.tokens = tokens;
	}

	Result run(HttpCall call, int streams) throws InterruptedException {
		AtomicLong whole = new AtomicLong();
		AtomicLong counted = new AtomicLong();
		CountDownLatch open = new CountDownLatch(streams);
		long begun = System.nanoTime();
		for (int index = 0; index < streams; index++) {
			this.client.stream(call.withTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)), new Stream(whole, counted, open));
		}
		open.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		return new Result(streams, whole.get(), counted.get(), (long) streams * this.tokens,
				(System.nanoTime() - begun) / 1e9);
	}

	/** Counts the tokens of one stream. Called by one thread at a time. */
	private final class Stream implements ResponseListener {

		private final AtomicLong whole;

		private final AtomicLong counted;

		private final CountDownLatch open;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		Stream(AtomicLong whole, AtomicLong counted, CountDownLatch open) {
			this.whole = whole;
			this.counted = counted;
			this.open = open;
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
		}

		@Override
		public void onBody(ByteBuffer piece) {
			byte[] bytes = new byte[piece.remaining()];
			piece.get(bytes);
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			String text = this.body.toString(StandardCharsets.UTF_8);
			long seen = text.lines().filter((line) -> line.contains(TOKEN) && !line.contains(TOKEN + "\"")).count();
			this.counted.addAndGet(seen);
			if (seen == StreamLoad.this.tokens && text.contains("[DONE]")) {
				this.whole.incrementAndGet();
			}
			this.open.countDown();
		}

		@Override
		public void onFailure(ExchangeFailure failure) {
			this.open.countDown();
		}

	}

	/**
	 * What was measured.
	 *
	 * @param streams how many streams were opened
	 * @param whole how many had every token and the final event
	 * @param tokens tokens that came
	 * @param expectedTokens tokens that should have come
	 * @param seconds how long it took
	 */
	record Result(int streams, long whole, long tokens, long expectedTokens, double seconds) {

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "streams %d, whole %d, tokens %d of %d, %.1f s", this.streams, this.whole,
					this.tokens, this.expectedTokens, this.seconds);
		}

	}

}
