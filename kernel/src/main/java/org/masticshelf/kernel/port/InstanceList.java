package org.masticshelf.kernel.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of live and leaving instances, which lags behind the truth.
 * <p>
 * Implementations are safe for use by several threads.
 */
public interface InstanceList extends AutoCloseable {

	/**
	 * Reads the list.
	 * @return the listed instances; the future fails with a
	 * {@link java.io.UncheckedIOException} if the list cannot be read
	 */
	CompletableFuture<List<Instance>> read();

	@Override
	void close();

	/**
	 * A listed instance.
	 *
	 * @param identifier the endpoint's or daemon's identifier
	 * @param address IP number and port
	 * @param failureDomain the failure domain
	 * @param state whether it stays
	 */
	record Instance(String identifier, String address, String failureDomain, State state) {
	}

	/** Whether an instance stays. */
	enum State {

		/** In service. */
		LIVE,

		/** Will be gone soon and is to get no new work. */
		LEAVING

	}

}
