package org.masticshelf.kernel.quarantine;

import java.util.List;

/**
 * What crashes of endpoints say about a fingerprint. Implementations are immutable.
 */
public sealed interface CrashVerdict {

	/**
	 * Returns the crashes that speak against the fingerprint.
	 * @return the crashes, the latest first
	 */
	List<EndpointCrash> crashes();

	/**
	 * Endpoints crashed on requests with the fingerprint, one too few to be sure.
	 *
	 * @param crashes the crashes, the latest first
	 */
	record Suspected(List<EndpointCrash> crashes) implements CrashVerdict {

		/**
		 * Creates a verdict.
		 * @param crashes the crashes, the latest first
		 */
		public Suspected {
			crashes = List.copyOf(crashes);
		}

	}

	/**
	 * Endpoints crash on requests with the fingerprint, which must not be sent.
	 *
	 * @param crashes the crashes, the latest first
	 * @param needed how many of them suffice for the verdict
	 */
	record Implicated(List<EndpointCrash> crashes, int needed) implements CrashVerdict {

		/**
		 * Creates a verdict.
		 * @param crashes the crashes, the latest first
		 * @param needed how many of them suffice for the verdict
		 */
		public Implicated {
			crashes = List.copyOf(crashes);
		}

		/**
		 * Returns since when the crashes suffice.
		 * @return the monotonic time in milliseconds
		 */
		public long since() {
			return this.crashes.get(this.crashes.size() - this.needed).at();
		}

		/**
		 * Returns the crash with whose age the verdict ends.
		 * @return the oldest of the latest crashes that suffice
		 */
		public EndpointCrash decisive() {
			return this.crashes.get(this.needed - 1);
		}

	}

}
