package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Counts used tokens by the time of their charge, without knowing how they were granted.
 */
final class UsageTally {

	private static final long BILLION = 1_000_000_000L;

	private final List<Usage> usages = new ArrayList<>();

	void charged(Usage usage) {
		this.usages.add(usage);
	}

	long usedTokens() {
		return this.usages.stream().mapToLong((usage) -> usage.tokens).sum();
	}

	/**
	 * Returns the most that any window holds beyond rate times its length.
	 * @param tokensPerSecond the rate
	 * @return the tokens, rounded up
	 */
	long greatestBurst(long tokensPerSecond) {
		this.usages.sort(Comparator.comparingLong((usage) -> usage.time));
		long excess = 0;
		long greatest = 0;
		long last = 0;
		for (Usage usage : this.usages) {
			excess = Math.max(0, excess - tokensPerSecond * (usage.time - last)) + usage.tokens * BILLION;
			greatest = Math.max(greatest, excess);
			last = usage.time;
		}
		return Math.ceilDiv(greatest, BILLION);
	}

	static final class Usage {

		private final long time;

		private long tokens;

		Usage(long time, long tokens) {
			this.time = time;
			this.tokens = tokens;
		}

		void settle(long used) {
			this.tokens = used;
		}

	}

}
