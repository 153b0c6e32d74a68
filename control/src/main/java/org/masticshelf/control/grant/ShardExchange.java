package org.masticshelf.control.grant;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.Duties;
import org.masticshelf.control.duty.Duty;
import org.masticshelf.control.membership.Members;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantRequest;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The exchanges of this daemon with the keeper of one shard.
 * <p>
 * Invariant: at most one call is under way, and a call that takes longer than
 * {@link #TIMEOUT} is given up before the next one begins. Safe for use by several
 * threads; what is under way is guarded by this object's lock.
 */
final class ShardExchange {

	/** How long to wait for a keeper. */
	static final Duration TIMEOUT = Duration.ofMillis(500);

	private final int shard;

	private final ShardExchange.Dependencies ways;

	private final MonotonicClock clock;

	private final Duty duty;

	private final List<Joined> accounts = new CopyOnWriteArrayList<>();

	private @Nullable Sent underWay;

	ShardExchange(int shard, ShardExchange.Dependencies ways, MonotonicClock clock) {
		this.shard = shard;
		this.ways = ways;
		this.clock = clock;
		this.duty = ways.duties().follow(GrantMessages.dutyNameOf(shard));
	}

	/**
	 * Adds an account.
	 * @param account the account
	 * @param gotTokens told after an answer came for it
	 */
	void addAccount(ClientAccount account, Runnable gotTokens) {
		this.accounts.add(new Joined(account, gotTokens));
	}

	/** Begins a call with the requests that are due, if none is under way. */
	void runDue() {
		Duty.Holder holder = this.duty.holder();
		if (holder == null || this.accounts.isEmpty()) {
			return;
		}
		Sent sent = begin();
		if (sent != null) {
			send(holder, sent).whenComplete((reply, failure) -> end(sent, answersOf(reply)));
		}
	}

	/**
	 * Gives everything back.
	 * @return completed when the keeper has answered or could not be reached
	 */
	CompletableFuture<Void> leave() {
		Duty.Holder holder = this.duty.holder();
		if (holder == null || this.accounts.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		Sent sent = new Sent(this.clock.nanoseconds());
		this.accounts.forEach((joined) -> sent.add(joined, joined.account().beginLeaving(sent.at)));
		return send(holder, sent).handle((reply, failure) -> null);
	}

	private synchronized @Nullable Sent begin() {
		long now = this.clock.nanoseconds();
		Sent former = this.underWay;
		if (former != null && now - former.at < TIMEOUT.toNanos()) {
			return null;
		}
		if (former != null) {
			former.end(Map.of(), now);
		}
		Sent sent = new Sent(now);
		for (Joined joined : this.accounts) {
			GrantRequest request = joined.account().beginExchange(now);
			if (request != null) {
				sent.add(joined, request);
			}
		}
		this.underWay = sent.requests.isEmpty() ? null : sent;
		return this.underWay;
	}

	private CompletableFuture<GrantMessages.Reply> send(Duty.Holder holder, Sent sent) {
		Members.Member self = this.ways.self();
		GrantRequest.Sender sender = new GrantRequest.Sender(self.incarnation(), self.instance(), self.address());
		GrantMessages.Call call = new GrantMessages.Call(this.shard, sender, sent.requests);
		if (holder.incarnation().equals(self.incarnation())) {
			return this.ways.keeper().exchange(call);
		}
		return this.ways.channel()
			.call(holder.address(), GrantMessages.OPERATION, GrantMessages.toJson(call), TIMEOUT)
			.thenApply((body) -> GrantMessages.parse(body, GrantMessages.Reply.class));
	}

	private void end(Sent sent, Map<QualifiedName, GrantAnswer> answers) {
		long now = this.clock.nanoseconds();
		synchronized (this) {
			sent.end(answers, now);
			if (this.underWay == sent) {
				this.underWay = null;
			}
		}
		sent.joined.forEach((joined) -> {
			joined.account().processWaiting(now);
			joined.gotTokens().run();
		});
	}

	private static Map<QualifiedName, GrantAnswer> answersOf(GrantMessages.@Nullable Reply reply) {
		Map<QualifiedName, GrantAnswer> answers = new HashMap<>();
		if (reply != null) {
			reply.answers().forEach((answer) -> answers.put(answer.organisation(), answer));
		}
		return answers;
	}

	/**
	 * What is needed to reach the keepers.
	 *
	 * @param self this daemon
	 * @param duties the duties whose holders are the keepers
	 * @param channel the channel to other daemons
	 * @param keeper the keeper of this daemon
	 */
	record Dependencies(Members.Member self, Duties duties, PeerChannel channel, GrantKeeper keeper) {
	}

	private record Joined(ClientAccount account, Runnable gotTokens) {
	}

	/** A call under way. */
	private static final class Sent {

		private final long at;

		private final List<Joined> joined = new ArrayList<>();

		private final List<GrantRequest> requests = new ArrayList<>();

		Sent(long at) {
			this.at = at;
		}

		void add(Joined account, GrantRequest request) {
			this.joined.add(account);
			this.requests.add(request);
		}

		void end(Map<QualifiedName, GrantAnswer> answers, long now) {
			for (int index = 0; index < this.joined.size(); index++) {
				ClientAccount account = this.joined.get(index).account();
				account.endExchange(this.requests.get(index), answers.get(account.organisation()), now);
			}
		}

	}

}
