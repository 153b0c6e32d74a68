package org.masticshelf.transport.log;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests {@link SheddingAppender} with an output that blocks until it is released.
 */
class SheddingAppenderTests {

	private static final int QUEUE_SIZE = 100;

	private static final String LEFT_OUT_PREFIX = "event=log.left_out routine=0 others=";

	private final LoggerContext context = new LoggerContext();

	private final BlockedOutput output = new BlockedOutput();

	private final SheddingAppender appender = new SheddingAppender();

	private final Logger logger = this.context.getLogger("tested");

	@BeforeEach
	void start() {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		this.output.setContext(this.context);
		this.output.start();
		this.appender.setContext(this.context);
		this.appender.setQueueSize(QUEUE_SIZE);
		this.appender.addAppender(this.output);
		this.appender.start();
		this.logger.addAppender(this.appender);
	}

	private List<String> releaseOutput() {
		this.output.released.countDown();
		this.appender.stop();
		return this.output.lines;
	}

	@Test
	void keepsRefusalsAndDropsRoutineLinesWhileOutputIsBlocked() {
		for (int number = 0; number < 10 * QUEUE_SIZE; number++) {
			this.logger.info("event=request.admitted id=" + number);
			this.logger.info("event=request.ended id=" + number + " outcome=served status=200");
		}
		for (int number = 0; number < QUEUE_SIZE / 4; number++) {
			this.logger.info("event=request.ended id=" + number + " outcome=refused_no_endpoint status=503");
		}
		List<String> lines = releaseOutput();
		Truth.assertThat(lines.stream().filter((line) -> line.contains("refused_no_endpoint")).count())
			.isEqualTo(QUEUE_SIZE / 4);
		Truth.assertThat(lines.stream().filter((line) -> line.startsWith("event=request.admitted")).count())
			.isLessThan(QUEUE_SIZE);
	}

	@Test
	void saysHowManyLinesWereLeftOut() throws InterruptedException {
		int logged = 20 * QUEUE_SIZE;
		// The writing thread takes whatever is queued when it wakes up. It has to be
		// blocked
		// in the output before the queue fills, or lines are left out in two bursts.
		this.logger.info("event=request.refused id=first status=503");
		this.output.entered.await();
		for (int number = 0; number < logged; number++) {
			this.logger.info("event=request.refused id=" + number + " status=503");
		}
		this.output.released.countDown();
		awaitEmptyQueue();
		this.logger.info("event=request.refused id=last status=503");
		List<String> lines = releaseOutput();
		long kept = lines.stream().filter((line) -> line.startsWith("event=request.refused")).count();
		Truth.assertThat(lines).contains("event=log.left_out routine=0 others=" + (logged + 2 - kept));
	}

	/** Lines that are left out in several bursts are each counted once. */
	@Test
	void countsOfSeveralBurstsAddUp() {
		int logged = 200 * QUEUE_SIZE;
		this.output.released.countDown();
		for (int number = 0; number < logged; number++) {
			this.logger.info("event=request.refused id=" + number + " status=503");
		}
		awaitEmptyQueue();
		this.logger.info("event=request.refused id=last status=503");
		List<String> lines = releaseOutput();
		long kept = lines.stream().filter((line) -> line.startsWith("event=request.refused")).count();
		long leftOut = lines.stream()
			.filter((line) -> line.startsWith(LEFT_OUT_PREFIX))
			.mapToLong((line) -> Long.parseLong(line.substring(LEFT_OUT_PREFIX.length())))
			.sum();
		Truth.assertThat(kept + leftOut).isEqualTo(logged + 1);
	}

	private void awaitEmptyQueue() {
		while (this.appender.getNumberOfElementsInQueue() > 0) {
			Thread.onSpinWait();
		}
	}

	/** An output that blocks its writer until it is released. */
	private static final class BlockedOutput extends AppenderBase<ILoggingEvent> {

		private final CountDownLatch entered = new CountDownLatch(1);

		private final CountDownLatch released = new CountDownLatch(1);

		private final List<String> lines = new CopyOnWriteArrayList<>();

		@Override
		protected void append(ILoggingEvent event) {
			this.entered.countDown();
			try {
				this.released.await();
			}
			catch (InterruptedException ex) {
				// Stopping the appender interrupts its thread, but queued lines are
				// still written.
				Thread.currentThread().interrupt();
			}
			this.lines.add(event.getFormattedMessage());
		}

	}

}
