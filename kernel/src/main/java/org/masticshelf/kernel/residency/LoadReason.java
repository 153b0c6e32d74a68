package org.masticshelf.kernel.residency;

/** The reason for loading a model. */
enum LoadReason {

	/** Requests wait for it. */
	WAITED_FOR,

	/** Requests for it were refused, and none waits now. */
	REFUSED,

	/** Its replicas refuse requests, or are about to. */
	OVERLOADED,

	/** Its replicas cannot keep up with its request rate. */
	BUSY,

	/** It is busy, and only one engine has a copy of it. */
	UNPROTECTED,

	/** Its replicas read so many prompts that streams pause. */
	SPREAD,

	/** It may be requested, and there is no other work. */
	ANTICIPATED;

	/**
	 * Returns whether no engine holds the model.
	 * @return whether the model is missing
	 */
	boolean isForMissingModel() {
		return this == WAITED_FOR || this == REFUSED;
	}

	/**
	 * Returns whether other engines hold the model already.
	 * @return whether the load is for a further replica
	 */
	boolean isForReplica() {
		return this == BUSY || this == OVERLOADED || this == UNPROTECTED || this == SPREAD;
	}

}
