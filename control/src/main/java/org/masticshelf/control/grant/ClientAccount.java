package org.masticshelf.control.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.grant.DaemonAccount;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantRequest;

/**
 * One organisation's account at this daemon and the requests that wait for its tokens.
 * <p>
 * Invariant: requests are charged in the order in which they came; futures are completed
 * without the lock. Safe for use by several threads; everything is guarded by this
 * object's lock.
 */
final class ClientAccount {

	private final QualifiedName organisation;

	private final DaemonAccount account;

	private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();

	private GrantLimits limits;

	private long hintedTokens;

	private boolean leaving;

	ClientAccount(QualifiedName organisation, GrantLimits limits, long now) {
		this.organisation = organisation;
		this.limits = limits;
		this.account = new DaemonAccount(organisation, limits, now);
	}

	QualifiedName organisation() {
		return this.organisation;
	}

	/**
	 * Applies limits if they changed.
	 * @param newLimits the limits in force
	 * @param now the time in nanoseconds
	 */
	synchronized void changeLimits(GrantLimits newLimits, long now) {
		if (!newLimits.equals(this.limits)) {
			this.limits = newLimits;
			this.account.changeLimits(newLimits, now);
		}
	}

	/**
	 * Charges tokens now or not at all.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the outcome
	 */
	synchronized ChargeOutcome charge(long tokens, long now) {
		ChargeOutcome outcome = this.waiters.isEmpty() ? this.account.charge(tokens, now) : insufficient(tokens, now);
		if (outcome instanceof ChargeOutcome.Charged) {
			this.account.recordDemand(tokens, now);
		}
		else if (outcome instanceof ChargeOutcome.Insufficient) {
			hint(tokens, now);
		}
		return outcome;
	}

	/**
	 * Returns how long it takes at least until tokens are there.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return nanoseconds, 0 if a charge would succeed, {@link Long#MAX_VALUE} for never
	 */
	synchronized long waitNanoseconds(long tokens, long now) {
		if (tokens > this.limits.burstTokens()) {
			return Long.MAX_VALUE;
		}
		if (this.waiters.isEmpty() && this.account.heldTokens(now) >= tokens) {
			return 0;
		}
		hint(tokens, now);
		return Math.max(1, this.account.earliestAvailableAt(waitingTokens() + tokens, now) - now);
	}

	/**
	 * Returns whether the keeper has answered lately.
	 * @param now the time in nanoseconds
	 * @return whether it has
	 */
	synchronized boolean isInContact(long now) {
		return this.account.isInContact(now);
	}

	/**
	 * Charges tokens as soon as they are there.
	 * @param tokens the tokens
	 * @param deadline until when to wait, in nanoseconds
	 * @param now the time in nanoseconds
	 * @return the outcome; insufficient as soon as the rate makes the deadline impossible
	 */
	CompletableFuture<ChargeOutcome> chargeBy(long tokens, long deadline, long now) {
		synchronized (this) {
			this.account.recordDemand(tokens, now);
			ChargeOutcome outcome = this.waiters.isEmpty() ? this.account.charge(tokens, now)
					: insufficient(tokens, now);
			boolean wait = outcome instanceof ChargeOutcome.Insufficient && tokens <= this.limits.burstTokens()
					&& this.account.earliestAvailableAt(waitingTokens() + tokens, now) <= deadline;
			if (!wait) {
				return CompletableFuture.completedFuture(outcome);
			}
			Waiter waiter = new Waiter(tokens, deadline, new CompletableFuture<>());
			this.waiters.addLast(waiter);
			return waiter.future();
		}
	}

	/**
	 * Charges or refuses what can be decided of the waiting requests.
	 * @param now the time in nanoseconds
	 */
	void processWaiting(long now) {
		for (Decided decided : decide(now)) {
			if (!decided.waiter().future().complete(decided.outcome())
					&& decided.outcome() instanceof ChargeOutcome.Charged charged) {
				settle(charged, 0, now);
			}
		}
	}

	private synchronized List<Decided> decide(long now) {
		List<Decided> decided = new ArrayList<>();
		while (!this.waiters.isEmpty()) {
			Waiter first = this.waiters.peekFirst();
			ChargeOutcome outcome = this.account.charge(first.tokens(), now);
			if (outcome instanceof ChargeOutcome.Insufficient) {
				break;
			}
			decided.add(new Decided(this.waiters.removeFirst(), outcome));
		}
		long ahead = 0;
		Iterator<Waiter> iterator = this.waiters.iterator();
		while (iterator.hasNext()) {
			Waiter waiter = iterator.next();
			ahead += waiter.tokens();
			if (waiter.deadline() <= now || this.account.earliestAvailableAt(ahead, now) > waiter.deadline()) {
				iterator.remove();
				decided.add(new Decided(waiter,
						new ChargeOutcome.Insufficient(waiter.tokens(), this.account.retryAfter(ahead, now))));
				ahead -= waiter.tokens();
			}
		}
		return decided;
	}

	/**
	 * Settles a charge.
	 * @param charged the charge
	 * @param usedTokens the tokens that were used
	 * @param now the time in nanoseconds
	 */
	synchronized void settle(ChargeOutcome.Charged charged, long usedTokens, long now) {
		this.account.settle(charged, usedTokens, now);
	}

	/**
	 * Begins an exchange with the keeper if one is due.
	 * @param now the time in nanoseconds, before the request is sent
	 * @return the request, or {@code null} if none is due
	 */
	synchronized @Nullable GrantRequest beginExchange(long now) {
		Waiter first = this.waiters.peekFirst();
		long minimum = (first != null) ? first.tokens() : this.hintedTokens;
		if (this.leaving || this.account.nextExchangeAt(minimum, now) > now) {
			return null;
		}
		long waiting = Math.max(waitingTokens(), this.hintedTokens);
		this.hintedTokens = 0;
		return this.account.beginExchange(minimum, waiting, now);
	}

	/**
	 * Begins the last exchange.
	 * @param now the time in nanoseconds
	 * @return the request
	 */
	synchronized GrantRequest beginLeaving(long now) {
		this.leaving = true;
		return this.account.beginLeaving(now);
	}

	/**
	 * Ends an exchange.
	 * @param request the request
	 * @param answer its answer, or {@code null} if there was none
	 * @param now the time in nanoseconds
	 */
	synchronized void endExchange(GrantRequest request, @Nullable GrantAnswer answer, long now) {
		if (this.account.pendingSequence() != request.sequence()) {
			return;
		}
		if (answer == null || !this.account.acceptAnswer(answer, now)) {
			this.account.abandonExchange();
		}
	}

	/**
	 * Returns the tokens that can be charged now.
	 * @param now the time in nanoseconds
	 * @return the tokens
	 */
	synchronized long heldTokens(long now) {
		return this.account.heldTokens(now);
	}

	private ChargeOutcome insufficient(long tokens, long now) {
		return new ChargeOutcome.Insufficient(tokens, this.account.retryAfter(waitingTokens() + tokens, now));
	}

	private void hint(long tokens, long now) {
		this.hintedTokens = Math.max(this.hintedTokens, tokens);
		this.account.recordDemand(0, now);
	}

	private long waitingTokens() {
		return this.waiters.stream().mapToLong(Waiter::tokens).sum();
	}

	private record Waiter(long tokens, long deadline, CompletableFuture<ChargeOutcome> future) {
	}

	private record Decided(Waiter waiter, ChargeOutcome outcome) {
	}

}
