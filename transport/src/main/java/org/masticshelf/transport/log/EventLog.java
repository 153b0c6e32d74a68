package org.masticshelf.transport.log;

import com.google.common.flogger.FluentLogger;

import org.masticshelf.kernel.event.Event;

/**
 * Writes events to the log of the process, one line each. Safe for use by several
 * threads.
 */
public final class EventLog {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private EventLog() {
	}

	/**
	 * Logs an event of ordinary operation.
	 * @param event the event
	 */
	public static void info(Event event) {
		LOGGER.atInfo().log("%s", event);
	}

	/**
	 * Logs an event that an operator may have to act upon.
	 * @param event the event
	 */
	public static void warning(Event event) {
		LOGGER.atWarning().log("%s", event);
	}

	/**
	 * Logs a broken invariant or an unexpected failure with its stack trace.
	 * @param event the event
	 * @param cause the failure
	 */
	public static void severe(Event event, Throwable cause) {
		LOGGER.atSevere().withCause(cause).log("%s", event);
	}

}
