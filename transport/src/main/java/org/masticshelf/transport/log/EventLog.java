package org.masticshelf.transport.log;

import com.google.common.flogger.FluentLogger;

import org.masticshelf.kernel.event.Event;

/**
 * Writes events to the log of the process, one line each. Thread-safe.
 */
public final class EventLog {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private EventLog() {
	}

	/**
	 * Logs an event of normal operation.
	 * @param event the event to log
	 */
	public static void info(Event event) {
		LOGGER.atInfo().log("%s", event);
	}

	/**
	 * Logs an event that an operator may have to act on.
	 * @param event the event to log
	 */
	public static void warning(Event event) {
		LOGGER.atWarning().log("%s", event);
	}

	/**
	 * Logs a broken invariant or an unexpected failure with its stack trace.
	 * @param event the event to log
	 * @param cause the failure
	 */
	public static void severe(Event event, Throwable cause) {
		LOGGER.atSevere().withCause(cause).log("%s", event);
	}

}
