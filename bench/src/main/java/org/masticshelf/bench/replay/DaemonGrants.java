package org.masticshelf.bench.replay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.grant.DaemonAccount;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantRequest;

/**
 * What one daemon may spend of each grant, and its exchanges with the keepers, which take
 * the time of the way.
 * <p>
 * Used by one thread.
 */
final class DaemonGrants {

	private static final long TICK_NANOSECONDS = 10_000_000L;

	private final int daemon;

	private final Fleet fleet;

	private final GrantKeepers keepers;

	private final Map<QualifiedName, DaemonAccount> accounts = new LinkedHashMap<>();

	private final Map<Flight, ChargeOutcome.Charged> charges = new HashMap<>();

	DaemonGrants(int daemon, Fleet fleet, GrantKeepers keepers) {
		this.daemon = daemon;
		this.fleet = fleet;
		this.keepers = keepers;
		for (Organisation organisation : fleet.configuration().tables().organisations()) {
			this.accounts.put(organisation.name(), new DaemonAccount(organisation.name(), GrantLimits.of(organisation),
					GrantKeepers.SINCE_NANOSECONDS));
		}
	}

	/**
	 * Starts the exchanges.
	 * @param end the reading after which they stop
	 * @param waiting tells what waits for tokens, by organisation
	 * @param changed told when tokens have come
	 */
	void start(long end, Supplier<Map<QualifiedName, Shortage>> waiting, Runnable changed) {
		this.fleet.time().every(TICK_NANOSECONDS, end, () -> {
			Map<QualifiedName, Shortage> shortages = waiting.get();
			this.accounts.forEach((organisation, account) -> exchangeIfDue(account,
					shortages.getOrDefault(organisation, Shortage.NONE), changed));
		});
	}

	private void exchangeIfDue(DaemonAccount account, Shortage shortage, Runnable changed) {
		long now = this.fleet.time().now();
		if (account.nextExchangeAt(shortage.firstTokens(), now) > now) {
			return;
		}
		GrantRequest request = account.beginExchange(shortage.firstTokens(), shortage.allTokens(), now);
		long way = this.fleet.deployment().domainDistanceNanoseconds();
		this.fleet.time().after(way, () -> {
			GrantAnswer answer = this.keepers.answer(this.daemon, request, this.fleet.time().now());
			if (answer != null) {
				this.fleet.time().after(way, () -> {
					account.acceptAnswer(answer, this.fleet.time().now());
					changed.run();
				});
			}
		});
	}

	void demand(Flight flight) {
		account(flight).recordDemand(flight.request.costTokens(), this.fleet.time().now());
	}

	boolean covers(Flight flight) {
		return account(flight).heldTokens(this.fleet.time().now()) >= flight.request.costTokens();
	}

	/**
	 * Charges a request.
	 * @param flight the request
	 * @return whether its tokens were here
	 */
	boolean charge(Flight flight) {
		ChargeOutcome outcome = account(flight).charge(flight.request.costTokens(), this.fleet.time().now());
		if (outcome instanceof ChargeOutcome.Charged charged) {
			this.charges.put(flight, charged);
			return true;
		}
		return false;
	}

	void settle(Flight flight, long usedTokens) {
		ChargeOutcome.Charged charged = this.charges.remove(flight);
		if (charged != null) {
			account(flight).settle(charged, usedTokens, this.fleet.time().now());
		}
	}

	/**
	 * Returns how long a request has to wait for tokens at least.
	 * @param flight the request
	 * @return nanoseconds
	 */
	long waitNanoseconds(Flight flight) {
		long now = this.fleet.time().now();
		long earliest = account(flight).earliestAvailableAt(flight.request.costTokens(), now);
		return (earliest == Long.MAX_VALUE) ? Long.MAX_VALUE / 2 : Math.max(0, earliest - now);
	}

	private DaemonAccount account(Flight flight) {
		DaemonAccount account = this.accounts.get(flight.organisation);
		if (account == null) {
			throw new IllegalStateException(flight.organisation + " has no grant");
		}
		return account;
	}

	/**
	 * Tokens that waiting requests of an organisation need.
	 *
	 * @param firstTokens what the first of them needs
	 * @param allTokens what all of them need
	 */
	record Shortage(long firstTokens, long allTokens) {

		static final Shortage NONE = new Shortage(0, 0);

		Shortage with(long tokens) {
			return new Shortage((this.firstTokens > 0) ? this.firstTokens : tokens, this.allTokens + tokens);
		}

	}

}
