package org.masticshelf.daemon.settings;

import java.net.URI;
import java.util.List;

import org.masticshelf.transport.settings.SettingsReader;

/**
 * The validated settings of a daemon. Immutable.
 *
 * @param instance the identifier of the instance in the platform's list
 * @param failureDomain the failure domain of the instance
 * @param failureDomains all failure domains, to determine majorities
 * @param callerListener the IP address and port for callers
 * @param operatorListener the IP address and port for probes and metrics
 * @param controlListener the IP address and port for other daemons and the operators'
 * tool
 * @param keyValueService the location of the platform's key-value service
 * @param instanceList the location of the platform's instance list
 * @param seedPeers control listeners of other daemons that a starting daemon contacts
 * first
 * @param limits the limits for callers
 * @param drain the timing of a planned stop
 */
public record DaemonSettings(String instance, String failureDomain, List<String> failureDomains, String callerListener,
		String operatorListener, String controlListener, URI keyValueService, URI instanceList, List<String> seedPeers,
		Limits limits, Drain drain) {

	private static final long MAXIMUM_BODY_BYTES_LIMIT = 64L * 1024 * 1024;

	private static final long DEFAULT_MAXIMUM_BODY_BYTES = 1024 * 1024;

	private static final long DEFAULT_MAXIMUM_HEADER_BYTES = 32 * 1024;

	private static final long DEFAULT_MAXIMUM_CONNECTIONS = 10_000;

	private static final long DEFAULT_MAXIMUM_WAITING = 10_000;

	private static final long DEFAULT_IO_THREADS = 4;

	private static final long DEFAULT_DRAIN_MILLISECONDS = 60_000;

	private static final long DEFAULT_DRAIN_NOTICE_MILLISECONDS = 3_000;

	/**
	 * Reads settings.
	 * @param reader the reader of the settings file
	 * @return the settings
	 * @throws org.masticshelf.transport.settings.SettingsException if the settings are
	 * invalid; lists every mistake
	 */
	public static DaemonSettings read(SettingsReader reader) {
		DaemonSettings settings = new DaemonSettings(reader.string("instance", null),
				reader.string("failureDomain", null), reader.strings("failureDomains", true),
				reader.address("callerListener"), reader.address("operatorListener"), reader.address("controlListener"),
				reader.uri("keyValueService"), reader.uri("instanceList"), reader.addresses("seedPeers", false),
				Limits.read(reader), Drain.read(reader));
		if (!settings.failureDomains().isEmpty() && !settings.failureDomains().contains(settings.failureDomain())) {
			reader.addError("failureDomain", "'" + settings.failureDomain() + "' is not among failureDomains");
		}
		reader.finish();
		return settings;
	}

	/**
	 * The limits for callers.
	 *
	 * @param maximumBodyBytes the maximum size of a request's body in bytes
	 * @param maximumHeaderBytes the maximum size of a request's header in bytes
	 * @param maximumConnections the maximum number of connections of callers
	 * @param maximumWaiting the maximum number of waiting requests of a pool
	 * @param ioThreads the number of I/O threads
	 */
	public record Limits(long maximumBodyBytes, int maximumHeaderBytes, int maximumConnections, int maximumWaiting,
			int ioThreads) {

		private static Limits read(SettingsReader reader) {
			return new Limits(
					reader.number("maximumBodyBytes", 1024, MAXIMUM_BODY_BYTES_LIMIT, DEFAULT_MAXIMUM_BODY_BYTES),
					(int) reader.number("maximumHeaderBytes", 1024, 1024 * 1024, DEFAULT_MAXIMUM_HEADER_BYTES),
					(int) reader.number("maximumConnections", 1, 1_000_000, DEFAULT_MAXIMUM_CONNECTIONS),
					(int) reader.number("maximumWaiting", 1, 1_000_000, DEFAULT_MAXIMUM_WAITING),
					(int) reader.number("ioThreads", 1, 256, DEFAULT_IO_THREADS));
		}

	}

	/**
	 * The timing of a planned stop.
	 *
	 * @param noticeMilliseconds how long requests are still accepted after the daemon
	 * reports not ready, so that the load balancer can notice
	 * @param milliseconds how long it then waits for requests to end
	 */
	public record Drain(long noticeMilliseconds, long milliseconds) {

		private static Drain read(SettingsReader reader) {
			return new Drain(reader.number("drainNoticeMilliseconds", 0, 600_000, DEFAULT_DRAIN_NOTICE_MILLISECONDS),
					reader.number("drainMilliseconds", 0, 3_600_000, DEFAULT_DRAIN_MILLISECONDS));
		}

	}

}
