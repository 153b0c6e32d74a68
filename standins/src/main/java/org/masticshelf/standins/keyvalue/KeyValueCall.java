package org.masticshelf.standins.keyvalue;

/**
 * The kinds of call that a key-value service takes and counts.
 */
public enum KeyValueCall {

	/** Reads one key. */
	GET,

	/** Reads the keys with a prefix. */
	LIST,

	/** Applies a transaction. */
	TRANSACT,

	/** Creates a lease. */
	GRANT_LEASE,

	/** Renews a lease. */
	KEEP_ALIVE,

	/** Ends a lease. */
	REVOKE_LEASE,

	/** Starts a watch. */
	WATCH

}
