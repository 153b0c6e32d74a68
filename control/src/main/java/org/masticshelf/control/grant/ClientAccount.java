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
 * Combines one organisation's account at this daemon with the requests that wait for its
 * tokens.
 * <p>
 * Invariant: requests are charged in order of arrival; futures are completed without
 * holding the lock. Thread-safe; all state is guarded by this object's lock.
 */
final class ClientAccount {

	private final QualifiedName organisation;

	private final DaemonAccount account;

	private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();

	private GrantLimits limits;

	private long unqueuedDemandTokens;

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
	 * Charges tokens immediately or not at all.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the outcome
	 */
	synchronized ChargeOutcome charge(long tokens, long now) {
		ChargeOutcome outcome = this.waiters.isEmpty() ? this.account.charge(tokens, now)
				: createInsufficient(tokens, now);
		if (outcome instanceof ChargeOutcome.Charged) {
			this.account.recordDemand(tokens, now);
		}
		else if (outcome instanceof ChargeOutcome.Insufficient) {
			recordUnqueuedDemand(tokens, now);
		}
		return outcome;
	}

	/**
	 * Returns how long it takes at least until tokens can be charged.
	 * @param tokens the tokens
	 * @param now the time in nanoseconds
	 * @return the time in nanoseconds, 0 if a charge would succeed,
	 * {@link Long#MAX_VALUE} for never
	 */
	synchronized long waitNanoseconds(long tokens, long now) {
		if (tokens > this.limits.burstTokens()) {
			return Long.MAX_VALUE;
		}
		if (this.waiters.isEmpty() && this.account.heldTokens(now) >= tokens) {
			return 0;
		}
		recordUnqueuedDemand(tokens, now);
		return Math.max(1, this.account.earliestAvailableAt(waitingTokens() + tokens, now) - now);
	}

	/**
	 * Returns whether the keeper has answered recently.
	 * @param now the time in nanoseconds
	 * @return whether it is known how soon tokens become available
	 */
	synchronized boolean isInContact(long now) {
		return this.account.isInContact(now);
	}

	/**
	 * Charges tokens as soon as they are available.
	 * @param tokens the tokens
	 * @param deadline how long to wait at most, as a time in nanoseconds
	 * @param now the time in nanoseconds
	 * @return the outcome; insufficient as soon as the rate makes the deadline
	 * unreachable
	 */
	CompletableFuture<ChargeOutcome> chargeBy(long tokens, long deadline, long now) {
		synchronized (this) {
			this.account.recordDemand(tokens, now);
			ChargeOutcome outcome = this.waiters.isEmpty() ? this.account.charge(tokens, now)
					: createInsufficient(tokens, now);
			boolean mustWait = outcome instanceof ChargeOutcome.Insufficient && tokens <= this.limits.burstTokens()
					&& this.account.earliestAvailableAt(waitingTokens() + tokens, now) <= deadline;
			if (!mustWait) {
				return CompletableFuture.completedFuture(outcome);
			}
			Waiter waiter = new Waiter(tokens, deadline, new CompletableFuture<>());
			this.waiters.addLast(waiter);
			return waiter.future();
		}
	}

	/**
	 * Charges or refuses the waiting requests that can be decided now.
	 * @param now the time in nanoseconds
	 */
	void processWaiting(long now) {
		for (Decision decision : decide(now)) {
			if (!decision.waiter().future().complete(decision.outcome())
					&& decision.outcome() instanceof ChargeOutcome.Charged charged) {
				settle(charged, 0, now);
			}
		}
	}

	private synchronized List<Decision> decide(long now) {
		List<Decision> decisions = new ArrayList<>();
		while (!this.waiters.isEmpty()) {
			Waiter first = this.waiters.peekFirst();
			ChargeOutcome outcome = this.account.charge(first.tokens(), now);
			if (outcome instanceof ChargeOutcome.Insufficient) {
				break;
			}
			decisions.add(new Decision(this.waiters.removeFirst(), outcome));
		}
		long aheadTokens = 0;
		Iterator<Waiter> iterator = this.waiters.iterator();
		while (iterator.hasNext()) {
			Waiter waiter = iterator.next();
			aheadTokens += waiter.tokens();
			if (waiter.deadline() <= now || this.account.earliestAvailableAt(aheadTokens, now) > waiter.deadline()) {
				iterator.remove();
				decisions.add(new Decision(waiter,
						new ChargeOutcome.Insufficient(waiter.tokens(), this.account.retryAfter(aheadTokens, now))));
				aheadTokens -= waiter.tokens();
			}
		}
		return decisions;
	}

	/**
	 * Settles a charge with the tokens that were used.
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
	 * @return the request, or {@code null} if no exchange is due
	 */
	synchronized @Nullable GrantRequest beginExchange(long now) {
		Waiter first = this.waiters.peekFirst();
		long minimum = (first != null) ? first.tokens() : this.unqueuedDemandTokens;
		if (this.leaving || this.account.nextExchangeAt(minimum, now) > now) {
			return null;
		}
		long waiting = Math.max(waitingTokens(), this.unqueuedDemandTokens);
		this.unqueuedDemandTokens = 0;
		return this.account.beginExchange(minimum, waiting, now);
	}

	/**
	 * Begins the last exchange, which returns all tokens.
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

	private ChargeOutcome createInsufficient(long tokens, long now) {
		return new ChargeOutcome.Insufficient(tokens, this.account.retryAfter(waitingTokens() + tokens, now));
	}

	private void recordUnqueuedDemand(long tokens, long now) {
		this.unqueuedDemandTokens = Math.max(this.unqueuedDemandTokens, tokens);
		this.account.recordDemand(0, now);
	}

	private long waitingTokens() {
		return this.waiters.stream().mapToLong(Waiter::tokens).sum();
	}

	private record Waiter(long tokens, long deadline, CompletableFuture<ChargeOutcome> future) {
	}

	private record Decision(Waiter waiter, ChargeOutcome outcome) {
	}

}
