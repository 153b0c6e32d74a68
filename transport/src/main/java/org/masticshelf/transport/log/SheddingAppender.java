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
 * Writes log lines asynchronously and drops lines instead of blocking a request while the
 * output is slow or blocked.
 * <p>
 * While more than half of the queue is full, the lines of successful requests are
 * dropped. Refusals and failures are kept until the queue is full. Once the queue has
 * room again, one line reports how many lines were dropped.
 * <p>
 * Invariant: {@link #enqueue} never blocks. Thread-safe.
 */
public final class SheddingAppender extends AsyncAppenderBase<ILoggingEvent> {

	private static final List<String> ROUTINE_PREFIXES = List.of("event=request.admitted ", "event=request.sent ",
			"event=request.waiting ", "event=route.chosen ");

	private static final String REQUEST_ENDED_PREFIX = "event=request.ended ";

	private static final String OUTCOME_SERVED = " outcome=served";

	private final AtomicLong droppedRoutineLines = new AtomicLong();

	private final AtomicLong droppedOtherLines = new AtomicLong();

	/** Creates an appender, which is not started yet. */
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
		boolean discardable = ROUTINE_PREFIXES.stream().anyMatch(line::startsWith)
				|| (line.startsWith(REQUEST_ENDED_PREFIX) && line.contains(OUTCOME_SERVED));
		if (discardable) {
			this.droppedRoutineLines.incrementAndGet();
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
			this.droppedOtherLines.incrementAndGet();
			return;
		}
		if (!isQueueBelowDiscardingThreshold()) {
			appendDropSummary();
		}
		super.append(event);
	}

	private void appendDropSummary() {
		long routine = this.droppedRoutineLines.getAndSet(0);
		long others = this.droppedOtherLines.getAndSet(0);
		if (routine + others > 0 && getContext() instanceof LoggerContext context) {
			Logger logger = context.getLogger(SheddingAppender.class);
			super.append(new LoggingEvent(SheddingAppender.class.getName(), logger, Level.WARN,
					"event=log.left_out routine=" + routine + " others=" + others, null, null));
		}
	}

}
