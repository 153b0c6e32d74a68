package org.masticshelf.kernel.grant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Records used tokens by the time of their charge, independently of how they were
 * granted.
 */
final class UsageTally {

	private static final long BILLIONTHS_PER_TOKEN = 1_000_000_000L;

	private final List<Usage> usages = new ArrayList<>();

	void add(Usage usage) {
		this.usages.add(usage);
	}

	long usedTokens() {
		return this.usages.stream().mapToLong((usage) -> usage.tokens).sum();
	}

	/**
	 * Returns the most tokens that any window uses beyond rate times its length.
	 * @param tokensPerSecond the rate
	 * @return the tokens, rounded up
	 */
	long greatestBurst(long tokensPerSecond) {
		this.usages.sort(Comparator.comparingLong((usage) -> usage.time));
		long excess = 0;
		long greatest = 0;
		long last = 0;
		for (Usage usage : this.usages) {
			excess = Math.max(0, excess - tokensPerSecond * (usage.time - last)) + usage.tokens * BILLIONTHS_PER_TOKEN;
			greatest = Math.max(greatest, excess);
			last = usage.time;
		}
		return Math.ceilDiv(greatest, BILLIONTHS_PER_TOKEN);
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
