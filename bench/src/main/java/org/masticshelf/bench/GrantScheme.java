package org.masticshelf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.grant.GrantMessages;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.Allotment;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.grant.DaemonAccount;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantParameters;
import org.masticshelf.kernel.grant.GrantRequest;
import org.masticshelf.kernel.grant.KeeperLedger;
import org.masticshelf.kernel.grant.TokenBucket;

/**
 * A way to keep one organisation's grant over several daemons.
 * <p>
 * Implementations are for one thread.
 */
interface GrantScheme {

	/**
	 * Tries to charge tokens at a daemon.
	 * @param daemon the number of the daemon
	 * @param tokens the tokens
	 * @param waited whether the request was tried before
	 * @param now the time in nanoseconds
	 * @return settles the charge with the tokens that were used, or {@code null}
	 */
	@Nullable Settlement charge(int daemon, long tokens, boolean waited, long now);

	/**
	 * Lets messages go.
	 * @param now the time in nanoseconds
	 */
	void step(long now);

	/**
	 * Creates the chosen scheme.
	 * @param limits the rate and burst
	 * @param daemons the number of daemons
	 * @param now the time in nanoseconds
	 * @return the scheme
	 */
	static Kept chosen(GrantLimits limits, int daemons, long now) {
		return new Kept(limits, daemons, GrantParameters.RESERVE_PARTS_PER_MILLION, GrantBench.ROUND_TRIP_NANOSECONDS,
				now);
	}

	/** Settles a charge. */
	@FunctionalInterface
	interface Settlement {

		/**
		 * Settles.
		 * @param used the tokens that were used
		 * @param now the time in nanoseconds
		 */
		void settle(long used, long now);

	}

	/** One bucket that every daemon reaches at once, for comparison. */
	final class Central implements GrantScheme {

		private final TokenBucket bucket;

		Central(GrantLimits limits, long now) {
			this.bucket = new TokenBucket(limits, now);
		}

		@Override
		public @Nullable Settlement charge(int daemon, long tokens, boolean waited, long now) {
			if (!this.bucket.tryTake(tokens, now)) {
				return null;
			}
			return (used, later) -> this.bucket.credit(tokens - used, now, later);
		}

		@Override
		public void step(long now) {
		}

	}

	/** Each daemon has an equal part of rate and burst. */
	final class StaticSplit implements GrantScheme {

		private final List<Central> parts = new ArrayList<>();

		StaticSplit(GrantLimits limits, int daemons, long now) {
			GrantLimits share = limits.toShare(1_000_000 / daemons);
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.parts.add(new Central(share, now));
			}
		}

		@Override
		public @Nullable Settlement charge(int daemon, long tokens, boolean waited, long now) {
			return this.parts.get(daemon).charge(daemon, tokens, waited, now);
		}

		@Override
		public void step(long now) {
		}

	}

	/** Slices from a keeper, with a reserve of allotments or without one. */
	final class Kept implements GrantScheme {

		static final QualifiedName ORGANISATION = QualifiedName.of("sofia/crests");

		private final List<DaemonAccount> accounts = new ArrayList<>();

		private final List<List<Delivery>> underWay = new ArrayList<>();

		private final KeeperLedger ledger;

		private final long roundTrip;

		private final long[] waiting;

		private long messages;

		private long bytes;

		Kept(GrantLimits limits, int daemons, long reserve, long roundTrip, long now) {
			this.ledger = new KeeperLedger(limits, 1, List.of(), reserve, now);
			this.roundTrip = roundTrip;
			this.waiting = new long[daemons];
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.accounts.add(new DaemonAccount(ORGANISATION, limits, now));
				this.underWay.add(new ArrayList<>());
			}
		}

		@Override
		public @Nullable Settlement charge(int daemon, long tokens, boolean waited, long now) {
			DaemonAccount account = this.accounts.get(daemon);
			if (!waited) {
				account.recordDemand(tokens, now);
			}
			if (!(account.charge(tokens, now) instanceof ChargeOutcome.Charged charged)) {
				this.waiting[daemon] += tokens;
				exchange(daemon, tokens, now);
				return null;
			}
			return (used, later) -> account.settle(charged, used, later);
		}

		@Override
		public void step(long now) {
			for (int daemon = 0; daemon < this.accounts.size(); daemon++) {
				List<Delivery> due = this.underWay.get(daemon).stream().filter((answer) -> answer.at() <= now).toList();
				this.underWay.get(daemon).removeAll(due);
				for (Delivery delivery : due) {
					this.accounts.get(daemon).acceptAnswer(delivery.answer(), now);
				}
				exchange(daemon, 0, now);
			}
		}

		private void exchange(int daemon, long minimum, long now) {
			DaemonAccount account = this.accounts.get(daemon);
			if (account.nextExchangeAt(minimum, now) > now) {
				return;
			}
			GrantRequest request = account.beginExchange(minimum, this.waiting[daemon], now);
			this.waiting[daemon] = 0;
			String name = "incarnation-" + daemon;
			GrantAnswer answer = this.ledger.answer(new GrantRequest.Sender(name, name, name), request,
					this.accounts.size() + 1, now + this.roundTrip / 2);
			List<Allotment> toWrite = this.ledger.pollAllotmentsToWrite();
			if (toWrite != null) {
				this.ledger.confirmWritten(toWrite);
			}
			GrantAnswer sent = Objects.requireNonNull(answer);
			this.underWay.get(daemon).add(new Delivery(now + this.roundTrip, sent));
			this.messages++;
			this.bytes += size(request) + size(sent);
		}

		private static long size(Object message) {
			return GrantMessages.toJson(message).toString().length();
		}

		long messages() {
			return this.messages;
		}

		long bytes() {
			return this.bytes;
		}

		private record Delivery(long at, GrantAnswer answer) {
		}

	}

}
