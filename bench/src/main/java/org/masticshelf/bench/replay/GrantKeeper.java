package org.masticshelf.bench.replay;

import java.util.HashMap;
import java.util.Map;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * A fake of the shared grants: one bucket an organisation, charged at dispatch with what
 * was asked for and refunded what was not generated.
 * <p>
 * Invariant: the level and all refunds to come never exceed the burst together, so that a
 * refund gives nothing back that had been refilled meanwhile. Used by one thread.
 */
final class GrantKeeper {

	private static final double NANOSECONDS_PER_SECOND = 1e9;

	private final Map<QualifiedName, Account> accounts = new HashMap<>();

	GrantKeeper(Iterable<Organisation> organisations) {
		organisations.forEach((organisation) -> this.accounts.put(organisation.name(), new Account(organisation)));
	}

	boolean covers(Flight flight, long now) {
		Account account = account(flight);
		account.refill(now);
		return account.level >= flight.request.costTokens();
	}

	void charge(Flight flight, long now) {
		Account account = account(flight);
		account.refill(now);
		account.level -= flight.request.costTokens();
		account.unsettled += flight.request.costTokens();
	}

	/**
	 * Settles a charge.
	 * @param flight the request
	 * @param usedTokens the tokens that it used
	 * @param now the reading
	 */
	void settle(Flight flight, long usedTokens, long now) {
		Account account = account(flight);
		account.refill(now);
		account.unsettled -= flight.request.costTokens();
		account.level += flight.request.costTokens() - usedTokens;
	}

	long nanosecondsUntilCovered(Flight flight, long now) {
		Account account = account(flight);
		account.refill(now);
		double missing = Math.max(0, flight.request.costTokens() - account.level);
		return (long) (missing / account.organisation.tokensPerSecond() * NANOSECONDS_PER_SECOND);
	}

	private Account account(Flight flight) {
		Account account = this.accounts.get(flight.organisation);
		if (account == null) {
			throw new IllegalStateException(flight.organisation + " has no grant");
		}
		return account;
	}

	private static final class Account {

		private final Organisation organisation;

		private double level;

		private double unsettled;

		private long updated;

		private Account(Organisation organisation) {
			this.organisation = organisation;
			this.level = organisation.burstTokens();
		}

		private void refill(long now) {
			double gained = (now - this.updated) / NANOSECONDS_PER_SECOND * this.organisation.tokensPerSecond();
			double room = this.organisation.burstTokens() - this.unsettled - this.level;
			this.level += Math.max(0, Math.min(gained, room));
			this.updated = now;
		}

	}

}
