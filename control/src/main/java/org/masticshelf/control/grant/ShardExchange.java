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
 * Exchanges messages between this daemon and the keeper of one shard.
 * <p>
 * Invariant: at most one call is pending, and a call that takes longer than
 * {@link #CALL_TIMEOUT} is abandoned before the next one begins. Thread-safe; the pending
 * call is guarded by this object's lock.
 */
final class ShardExchange {

	/** How long to wait for an answer of the keeper. */
	static final Duration TIMEOUT = Duration.ofMillis(500);

	private final int shard;

	private final Dependencies dependencies;

	private final MonotonicClock clock;

	private final Duty duty;

	private final List<Participant> participants = new CopyOnWriteArrayList<>();

	private @Nullable PendingCall pendingCall;

	ShardExchange(int shard, Dependencies dependencies, MonotonicClock clock) {
		this.shard = shard;
		this.dependencies = dependencies;
		this.clock = clock;
		this.duty = dependencies.duties().follow(GrantMessages.dutyNameOf(shard));
	}

	/**
	 * Adds an account.
	 * @param account the account
	 * @param onCallEnded called when a call that carried a request for it has ended
	 */
	void addAccount(ClientAccount account, Runnable onCallEnded) {
		this.participants.add(new Participant(account, onCallEnded));
	}

	/** Starts a call with the requests that are due, unless a call is pending. */
	void runDue() {
		Duty.Holder holder = this.duty.holder();
		if (holder == null || this.participants.isEmpty()) {
			return;
		}
		PendingCall pending = begin();
		if (pending != null) {
			send(holder, pending).whenComplete((reply, failure) -> end(pending, answersOf(reply)));
		}
	}

	/**
	 * Returns all tokens of this shard's accounts.
	 * @return a future that completes when the keeper has answered or could not be
	 * reached
	 */
	CompletableFuture<Void> leave() {
		Duty.Holder holder = this.duty.holder();
		if (holder == null || this.participants.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		PendingCall pending = new PendingCall(this.clock.nanoseconds());
		this.participants
			.forEach((participant) -> pending.add(participant, participant.account().beginLeaving(pending.startedAt)));
		return send(holder, pending).handle((reply, failure) -> null);
	}

	private synchronized @Nullable PendingCall begin() {
		long now = this.clock.nanoseconds();
		PendingCall previous = this.pendingCall;
		if (previous != null && now - previous.startedAt < TIMEOUT.toNanos()) {
			return null;
		}
		if (previous != null) {
			previous.end(Map.of(), now);
		}
		PendingCall pending = new PendingCall(now);
		for (Participant participant : this.participants) {
			GrantRequest request = participant.account().beginExchange(now);
			if (request != null) {
				pending.add(participant, request);
			}
		}
		this.pendingCall = pending.requests.isEmpty() ? null : pending;
		return this.pendingCall;
	}

	private CompletableFuture<GrantMessages.Reply> send(Duty.Holder holder, PendingCall pending) {
		Members.Member self = this.dependencies.self();
		GrantRequest.Sender sender = new GrantRequest.Sender(self.incarnation(), self.instance(), self.address());
		GrantMessages.Call call = new GrantMessages.Call(this.shard, sender, pending.requests);
		if (holder.incarnation().equals(self.incarnation())) {
			return this.dependencies.keeper().exchange(call);
		}
		return this.dependencies.channel()
			.call(holder.address(), GrantMessages.OPERATION, GrantMessages.toJson(call), TIMEOUT)
			.thenApply((body) -> GrantMessages.parse(body, GrantMessages.Reply.class));
	}

	private void end(PendingCall pending, Map<QualifiedName, GrantAnswer> answers) {
		long now = this.clock.nanoseconds();
		synchronized (this) {
			pending.end(answers, now);
			if (this.pendingCall == pending) {
				this.pendingCall = null;
			}
		}
		pending.participants.forEach((participant) -> {
			participant.account().processWaiting(now);
			participant.onCallEnded().run();
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
	 * Holds what is needed to reach the keepers.
	 *
	 * @param self the member entry of this daemon
	 * @param duties the duties, whose holders are the keepers
	 * @param channel the channel to other daemons
	 * @param keeper the keeper of this daemon
	 */
	record Dependencies(Members.Member self, Duties duties, PeerChannel channel, GrantKeeper keeper) {
	}

	private record Participant(ClientAccount account, Runnable onCallEnded) {
	}

	/** A call whose answer is pending, and the accounts that take part in it. */
	private static final class PendingCall {

		private final long startedAt;

		private final List<Participant> participants = new ArrayList<>();

		private final List<GrantRequest> requests = new ArrayList<>();

		PendingCall(long startedAt) {
			this.startedAt = startedAt;
		}

		void add(Participant participant, GrantRequest request) {
			this.participants.add(participant);
			this.requests.add(request);
		}

		void end(Map<QualifiedName, GrantAnswer> answers, long now) {
			for (int index = 0; index < this.participants.size(); index++) {
				ClientAccount account = this.participants.get(index).account();
				account.endExchange(this.requests.get(index), answers.get(account.organisation()), now);
			}
		}

	}

}
