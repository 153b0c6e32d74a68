package org.masticshelf.kernel.share;

/**
 * How many requests a cold endpoint may get within one second, in relation to what it
 * tolerates. Immutable.
 *
 * @param overage multiplies the requests a second that it tolerates
 * @param slack the requests that are added to the product
 */
public record ColdBound(double overage, double slack) {

	/** The bound of a deployment whose settings name none. */
	public static final ColdBound DEFAULT = new ColdBound(1.5, 5);

	/**
	 * Returns the bound for an endpoint.
	 * @param requestsPerSecond the requests a second that it tolerates
	 * @return the requests that it may get within any span of one second
	 */
	public double requestsInOneSecond(double requestsPerSecond) {
		return requestsPerSecond * this.overage + this.slack;
	}

}
