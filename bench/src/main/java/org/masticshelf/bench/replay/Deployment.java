package org.masticshelf.bench.replay;

import java.util.Arrays;
import java.util.List;

/**
 * A deployment with its sizes and distances.
 */
public enum Deployment {

	/** Willow Works. */
	BENGAL_EAST("bengal-east", "bengal", 500_000L, 65, 75, 5, 20),

	/** Monogram Works. */
	SOFIA("sofia", "sofia", 1_500_000L, 70, 65, 5, 15);

	/** The failure domains of each deployment. */
	public static final List<String> DOMAINS = List.of("domain-0", "domain-1", "domain-2");

	/** The one-way distance from clients to a deployment. */
	public static final long CLIENT_DISTANCE_NANOSECONDS = 3_000_000L;

	/** The model endpoints of each deployment. */
	public static final int ENDPOINTS = 8;

	/** The entry instances of each deployment. */
	public static final int ROUTERS = 4;

	private final String title;

	private final String workshop;

	private final long domainDistanceNanoseconds;

	private final int models;

	private final int adapters;

	private final int leastAdapterMilliseconds;

	private final int mostAdapterMilliseconds;

	Deployment(String title, String workshop, long domainDistanceNanoseconds, int models, int adapters,
			int leastAdapterMilliseconds, int mostAdapterMilliseconds) {
		this.title = title;
		this.workshop = workshop;
		this.domainDistanceNanoseconds = domainDistanceNanoseconds;
		this.models = models;
		this.adapters = adapters;
		this.leastAdapterMilliseconds = leastAdapterMilliseconds;
		this.mostAdapterMilliseconds = mostAdapterMilliseconds;
	}

	/**
	 * Finds a deployment.
	 * @param title its title
	 * @return the deployment
	 * @throws IllegalArgumentException if there is none with that title
	 */
	public static Deployment of(String title) {
		return Arrays.stream(values())
			.filter((deployment) -> deployment.title.equals(title))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no deployment is called '" + title + "'"));
	}

	/**
	 * Returns the title.
	 * @return for example {@code bengal-east}
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the workshop.
	 * @return the qualifier of its names
	 */
	public String workshop() {
		return this.workshop;
	}

	/**
	 * Returns the one-way distance between two failure domains.
	 * @return nanoseconds
	 */
	public long domainDistanceNanoseconds() {
		return this.domainDistanceNanoseconds;
	}

	/**
	 * Returns how many models there are.
	 * @return the number of models
	 */
	public int models() {
		return this.models;
	}

	/**
	 * Returns how many adapters there are.
	 * @return the number of adapters
	 */
	public int adapters() {
		return this.adapters;
	}

	/**
	 * Returns the shortest load of an adapter.
	 * @return milliseconds
	 */
	public int leastAdapterMilliseconds() {
		return this.leastAdapterMilliseconds;
	}

	/**
	 * Returns the longest load of an adapter.
	 * @return milliseconds
	 */
	public int mostAdapterMilliseconds() {
		return this.mostAdapterMilliseconds;
	}

}
