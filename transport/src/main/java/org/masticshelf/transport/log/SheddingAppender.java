package org.masticshelf.transport.log;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.AsyncAppenderBase;

/**
 * Writes lines on a thread of its own and leaves lines out rather than let a request wait
 * for the output.
 * <p>
 * Load pattern: nobody reads the output, or more is logged than it takes. While more than
 * half of the queue is taken, the lines of requests that go well are left out; refusals
 * and failures are kept until the queue is full. Once there is room again, one line says
 * how many were left out.
 * <p>
 * Invariant: {@link #enqueue} never blocks. Safe for use by several threads.
 */
public final class SheddingAppender extends AsyncAppenderBase<ILoggingEvent> {

	private static final List<String> ROUTINE = List.of("event=request.admitted ", "event=request.sent ",
			"event=request.waiting ", "event=route.chosen ");

	private static final String ENDED = "event=request.ended ";

	private static final String WELL = " outcome=served";

	private final AtomicLong routineLeftOut = new AtomicLong();

	private final AtomicLong othersLeftOut = new AtomicLong();

	/** Creates an appender that has not been started. */
	public SheddingAppender() {
		setNeverBlock(true);
	}

	@Override
	public void start() {
		setDiscardingThreshold(getQueueSize() / 2);
		super.start();
	}

	@Override
	protected boolean isDiscardable(ILoggingEvent event) {
		String line = event.getFormattedMessage();
		boolean discardable = ROUTINE.stream().anyMatch(line::startsWith)
				|| (line.startsWith(ENDED) && line.contains(WELL));
		if (discardable) {
			this.routineLeftOut.incrementAndGet();
		}
		return discardable;
	}

	@Override
	protected void preprocess(ILoggingEvent event) {
		event.prepareForDeferredProcessing();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (getRemainingCapacity() == 0) {
			this.othersLeftOut.incrementAndGet();
			return;
		}
		if (!isQueueBelowDiscardingThreshold()) {
			tellWhatWasLeftOut();
		}
		super.append(event);
	}

	private void tellWhatWasLeftOut() {
		long routine = this.routineLeftOut.getAndSet(0);
		long others = this.othersLeftOut.getAndSet(0);
		if (routine + others > 0 && getContext() instanceof LoggerContext context) {
			Logger logger = context.getLogger(SheddingAppender.class);
			super.append(new LoggingEvent(SheddingAppender.class.getName(), logger, Level.WARN,
					"event=log.left_out routine=" + routine + " others=" + others, null, null));
		}
	}

}
