package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tokens that a daemon will give back to the keeper with its next request.
 * <p>
 * Invariant: a credit leaves in one request only and is lost with it. Not safe for use by
 * several threads.
 */
final class PendingCredits {

	private final List<Pending> pending = new ArrayList<>();

	/**
	 * Adds unused tokens of a charge.
	 * @param group the group that the charge was reported with
	 * @param tokens the tokens
	 */
	void add(ReportedCharges group, long tokens) {
		if (tokens > 0) {
			this.pending.add(new Pending(group, tokens));
		}
	}

	/**
	 * Adds tokens that the keeper has never had.
	 * @param answer the last accepted answer
	 * @param tokens the tokens
	 */
	void addSince(GrantAnswer answer, long tokens) {
		ReportedCharges group = new ReportedCharges(answer.fencing(), answer.mark());
		group.resolveUnanswered();
		add(group, tokens);
	}

	/**
	 * Takes the credits that can be sent; those of earlier keepers are lost.
	 * @param fencing the fencing number of the keeper
	 * @return the credits by mark
	 */
	List<GrantRequest.Credit> take(long fencing) {
		Map<Long, Long> byMark = new TreeMap<>();
		Iterator<Pending> iterator = this.pending.iterator();
		while (iterator.hasNext()) {
			Pending next = iterator.next();
			if (!next.group().isResolved()) {
				continue;
			}
			iterator.remove();
			if (next.group().belongsTo(fencing)) {
				byMark.merge(next.group().mark(), next.tokens(), Long::sum);
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

	private record Pending(ReportedCharges group, long tokens) {
	}

}
