package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the tokens that a daemon returns to the keeper with its next request.
 * <p>
 * Invariant: a credit is sent in one request only and is lost if that request is. Not
 * thread-safe.
 */
final class PendingCredits {

	private final List<Pending> pending = new ArrayList<>();

	/**
	 * Adds unused tokens of a charge.
	 * @param charges the charges that it was reported with
	 * @param tokens the tokens
	 */
	void add(ReportedCharges charges, long tokens) {
		if (tokens > 0) {
			this.pending.add(new Pending(charges, tokens));
		}
	}

	/**
	 * Adds tokens of the allotment, which the keeper has never counted.
	 * @param answer the last accepted answer, from whose mark on they are credited
	 * @param tokens the tokens
	 */
	void addSince(GrantAnswer answer, long tokens) {
		ReportedCharges charges = new ReportedCharges(answer.fencing(), answer.mark());
		charges.resolveUnanswered();
		add(charges, tokens);
	}

	/**
	 * Removes and returns the credits that can be sent; those for earlier keepers are
	 * discarded.
	 * @param fencing the fencing number of the keeper
	 * @return the credits by mark
	 */
	List<GrantRequest.Credit> take(long fencing) {
		Map<Long, Long> byMark = new TreeMap<>();
		Iterator<Pending> iterator = this.pending.iterator();
		while (iterator.hasNext()) {
			Pending next = iterator.next();
			if (!next.charges().isResolved()) {
				continue;
			}
			iterator.remove();
			if (next.charges().belongsTo(fencing)) {
				byMark.merge(next.charges().mark(), next.tokens(), Long::sum);
			}
		}
		return byMark.entrySet()
			.stream()
			.map((entry) -> new GrantRequest.Credit(entry.getKey(), entry.getValue()))
			.toList();
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	private record Pending(ReportedCharges charges, long tokens) {
	}

}
