package org.masticshelf.serving;

import org.masticshelf.kernel.serving.Regions;
import org.masticshelf.kernel.share.ColdBound;
import org.masticshelf.serving.caller.ServingListener.Address;

/**
 * Settings of a serving daemon. Immutable.
 *
 * @param instance the name of the instance
 * @param failureDomain its failure domain
 * @param callers the address for callers
 * @param probes the address for probes
 * @param peers the address for peers
 * @param stopMilliseconds the time limit of a planned stop
 * @param settleMilliseconds how long a new holder of a duty waits before its first order
 * @param storeLoadsAtOnce the number of concurrent loads that the weight store serves at
 * full speed
 * @param coldBound how many requests a cold endpoint may get within one second
 * @param regions the regions of the failure domains
 * @param orderedByCost whether waiting requests are ordered by cost where routes state
 * different priorities, rather than by arrival everywhere
 * @param memoryMegabytes the memory of the process that bounds the bytes held for slow
 * readers, 0 for no bound
 */
public record ServingSettings(String instance, String failureDomain, Address callers, Address probes, Address peers,
		long stopMilliseconds, long settleMilliseconds, int storeLoadsAtOnce, ColdBound coldBound, Regions regions,
		boolean orderedByCost, long memoryMegabytes) {

	/**
	 * Creates a builder with default settings.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/** Builds settings. Not thread-safe. */
	public static final class Builder {

		private static final Address UNSET_ADDRESS = new Address("127.0.0.1", 0);

		private static final long DEFAULT_STOP_MILLISECONDS = 8_000;

		private static final long DEFAULT_SETTLE_MILLISECONDS = 1_500;

		private static final int DEFAULT_STORE_LOADS_AT_ONCE = 4;

		private String instance = "";

		private String failureDomain = "";

		private Address callers = UNSET_ADDRESS;

		private Address probes = UNSET_ADDRESS;

		private Address peers = UNSET_ADDRESS;

		private long stopMilliseconds = DEFAULT_STOP_MILLISECONDS;

		private long settleMilliseconds = DEFAULT_SETTLE_MILLISECONDS;

		private int storeLoadsAtOnce = DEFAULT_STORE_LOADS_AT_ONCE;

		private ColdBound coldBound = ColdBound.DEFAULT;

		private boolean orderedByCost = true;

		private long memoryMegabytes;

		private Regions regions = Regions.NONE;

		private Builder() {
		}

		/**
		 * Sets the instance and its failure domain.
		 * @param name its name
		 * @param domain its failure domain
		 * @return this builder
		 */
		public Builder onInstance(String name, String domain) {
			this.instance = name;
			this.failureDomain = domain;
			return this;
		}

		/**
		 * Sets the address on which to listen for callers.
		 * @param address the address
		 * @return this builder
		 */
		public Builder withCallersAt(Address address) {
			this.callers = address;
			return this;
		}

		/**
		 * Sets the address on which to listen for probes.
		 * @param address the address
		 * @return this builder
		 */
		public Builder withProbesAt(Address address) {
			this.probes = address;
			return this;
		}

		/**
		 * Sets the address on which to listen for peers.
		 * @param address the address
		 * @return this builder
		 */
		public Builder withPeersAt(Address address) {
			this.peers = address;
			return this;
		}

		/**
		 * Sets the time limit of a planned stop.
		 * @param milliseconds the time
		 * @return this builder
		 */
		public Builder stoppingWithin(long milliseconds) {
			this.stopMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Sets how long a new holder of a duty waits before its first order.
		 * @param milliseconds the time
		 * @return this builder
		 */
		public Builder settlingFor(long milliseconds) {
			this.settleMilliseconds = milliseconds;
			return this;
		}

		/**
		 * Sets how many concurrent loads the weight store serves at full speed.
		 * @param loads the number
		 * @return this builder
		 */
		public Builder withStoreLoadsAtOnce(int loads) {
			this.storeLoadsAtOnce = loads;
			return this;
		}

		/**
		 * Sets how many requests a cold endpoint may get within one second.
		 * @param bound the bound
		 * @return this builder
		 */
		public Builder withColdBound(ColdBound bound) {
			this.coldBound = bound;
			return this;
		}

		/**
		 * Sets how waiting requests are ordered.
		 * @param byCost whether they are ordered by cost where routes state different
		 * priorities, rather than by arrival everywhere
		 * @return this builder
		 */
		public Builder orderingByCost(boolean byCost) {
			this.orderedByCost = byCost;
			return this;
		}

		/**
		 * Sets the memory of the process that bounds the bytes held for slow readers.
		 * @param megabytes the memory, 0 for no bound
		 * @return this builder
		 */
		public Builder withMemory(long megabytes) {
			this.memoryMegabytes = megabytes;
			return this;
		}

		/**
		 * Sets the regions of the failure domains.
		 * @param mapping the regions
		 * @return this builder
		 */
		public Builder withRegions(Regions mapping) {
			this.regions = mapping;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public ServingSettings build() {
			return new ServingSettings(this.instance, this.failureDomain, this.callers, this.probes, this.peers,
					this.stopMilliseconds, this.settleMilliseconds, this.storeLoadsAtOnce, this.coldBound, this.regions,
					this.orderedByCost, this.memoryMegabytes);
		}

	}

}
