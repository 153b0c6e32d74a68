package org.masticshelf.bench.replay;

import java.util.List;

/**
 * The first line of a trace: what the deployment consists of.
 * <p>
 * Immutable.
 *
 * @param format always {@link #FORMAT}
 * @param version the version of the format
 * @param deployment the title of the deployment
 * @param seed the seed that the trace was made from
 * @param durationMilliseconds how long the trace lasts
 * @param organisations the organisations
 * @param models the models
 * @param endpoints the model endpoints
 */
public record TraceHeader(String format, int version, String deployment, long seed, long durationMilliseconds,
		List<OrganisationRow> organisations, List<ModelRow> models, List<EndpointRow> endpoints) {

	/** The name of the format. */
	public static final String FORMAT = "masticshelf-trace";

	/** The version of the format that this program reads and writes. */
	public static final int VERSION = 1;

	/**
	 * Creates a header.
	 */
	public TraceHeader {
		if (!format.equals(FORMAT) || version != VERSION) {
			throw new IllegalArgumentException("cannot read traces of format " + format + " version " + version);
		}
	}

	/**
	 * An organisation.
	 *
	 * @param name the name within the workshop
	 * @param tokensPerSecond the rate of its grant
	 * @param burstTokens the burst of its grant
	 * @param small whether it is one of the smallest
	 */
	public record OrganisationRow(String name, long tokensPerSecond, long burstTokens, boolean small) {
	}

	/**
	 * A model.
	 *
	 * @param name the name
	 * @param gigabytes the memory of a replica
	 * @param adapters the names of its adapters
	 */
	public record ModelRow(String name, int gigabytes, List<String> adapters) {
	}

	/**
	 * An endpoint.
	 *
	 * @param identifier the identifier
	 * @param domain the failure domain
	 * @param gigabytes the memory for models
	 * @param slots the requests that it runs at once
	 * @param onDisk the models whose weights lie on its disk at the start
	 */
	public record EndpointRow(String identifier, String domain, int gigabytes, int slots, List<String> onDisk) {
	}

}
