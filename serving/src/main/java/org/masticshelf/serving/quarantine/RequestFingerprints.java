package org.masticshelf.serving.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.quarantine.RequestFingerprint;
import org.masticshelf.kernel.serving.ServedRequest;

/**
 * What a request may have in common with others that crash their endpoints: the shared
 * segments of its prompt, and itself.
 * <p>
 * The digest of the body is computed at most once, and not before it is asked for. Not
 * thread-safe.
 */
public final class RequestFingerprints {

	private final ServedRequest request;

	private @Nullable String whole;

	/**
	 * Creates the fingerprints of a request.
	 * @param request the request
	 */
	public RequestFingerprints(ServedRequest request) {
		this.request = request;
	}

	/**
	 * Returns the fingerprint that only equal requests share.
	 * @return the fingerprint
	 */
	public String whole() {
		String result = this.whole;
		if (result == null) {
			result = RequestFingerprint.of(this.request);
			this.whole = result;
		}
		return result;
	}

	/**
	 * Returns what requests with other bodies may share.
	 * @return the segments in their order
	 */
	public List<String> segments() {
		return this.request.sharedSegments();
	}

	/**
	 * Returns all fingerprints, those that most requests share first.
	 * @return the segments in their order, then the whole request
	 */
	public List<String> all() {
		List<String> all = new ArrayList<>(this.request.sharedSegments());
		all.add(whole());
		return all;
	}

}
