package org.masticshelf.daemon.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

import org.masticshelf.kernel.refusal.Refusal;

/**
 * The requests that this daemon has accepted and that have not ended.
 * <p>
 * Invariant: once {@link #runWhenEmpty} was called, its action runs as soon as no request
 * is left. Safe for use by several threads.
 */
public final class ActiveRequests {

	private final Map<String, Abortable> requests = new ConcurrentHashMap<>();

	private final AtomicBoolean emptyActionPending = new AtomicBoolean();

	private volatile Runnable emptyAction = () -> {
	};

	/**
	 * Adds a request.
	 * @param identifier the request identifier
	 * @param request the request
	 */
	public void add(String identifier, Abortable request) {
		this.requests.put(identifier, request);
	}

	/**
	 * Removes a request that has ended.
	 * @param identifier the request identifier
	 */
	public void remove(String identifier) {
		this.requests.remove(identifier);
		runIfEmpty();
	}

	/**
	 * Returns how many requests are active.
	 * @return the number of requests
	 */
	public int size() {
		return this.requests.size();
	}

	/**
	 * Aborts requests whose key may no longer be used.
	 * @param keyPermitted tells whether the key with a digest may be used
	 */
	public void abortUnlessPermitted(Predicate<String> keyPermitted) {
		this.requests.values().forEach((request) -> {
			String digest = request.details().keyDigest();
			if (digest != null && !keyPermitted.test(digest)) {
				request.abort(Refusal.Reason.KEY_REJECTED);
			}
		});
	}

	/**
	 * Runs an action once no request is active.
	 * @param action runs once, immediately if no request is active
	 */
	public void runWhenEmpty(Runnable action) {
		this.emptyAction = action;
		this.emptyActionPending.set(true);
		runIfEmpty();
	}

	private void runIfEmpty() {
		if (this.requests.isEmpty() && this.emptyActionPending.compareAndSet(true, false)) {
			this.emptyAction.run();
		}
	}

	/** A request that can be ended early. */
	public interface Abortable {

		/**
		 * Returns the details of the request.
		 * @return the details
		 */
		RequestDetails details();

		/**
		 * Ends the request with a refusal.
		 * @param reason the reason of the refusal
		 */
		void abort(Refusal.Reason reason);

	}

}
