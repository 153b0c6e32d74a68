package org.masticshelf.control.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.duty.DaemonLease;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.KeyValueStore.Operation;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Members that are announced under the lease of each daemon.
 * <p>
 * While the key-value service is down the last known members stay, and a daemon that
 * starts then is known to those that it greets. Safe for use by several threads.
 */
public final class LeasedMembers implements Members {

	/** Precedes the incarnation of a member. */
	public static final String PREFIX = "masticshelf/member/";

	private static final String GREETING = "membership/greet";

	private static final long GREETING_MILLISECONDS = 2_000;

	private static final long HEARD_MILLISECONDS = 10_000;

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private final KeyValueStore store;

	private final PeerChannel channel;

	private final MonotonicClock clock;

	private final DaemonLease lease;

	private final Member self;

	private final List<String> seeds;

	private final Supplier<Set<String>> relays;

	private final Map<String, Heard> heard = new LinkedHashMap<>();

	private final Set<Long> endedLeases = new HashSet<>();

	private @Nullable PrefixView view;

	private @Nullable Long greetedAt;

	private long announcedLease;

	private long announcingLease;

	private long rounds;

	private volatile List<Member> known;

	/**
	 * Creates members and begins to answer greetings.
	 * @param store the key-value service
	 * @param channel the channel to peers
	 * @param clock the clock
	 * @param lease the lease of the daemon
	 * @param self this daemon
	 * @param seeds addresses of daemons from the settings, asked while no member is known
	 * @param relays returns the incarnations of the daemons that relay for others
	 */
	public LeasedMembers(KeyValueStore store, PeerChannel channel, MonotonicClock clock, DaemonLease lease, Member self,
			List<String> seeds, Supplier<Set<String>> relays) {
		this.store = store;
		this.channel = channel;
		this.clock = clock;
		this.lease = lease;
		this.self = self;
		this.seeds = List.copyOf(seeds);
		this.relays = relays;
		this.known = List.of(self);
		channel.answer(GREETING, this::answer);
	}

	/**
	 * Sets the copy of all keys with {@link #PREFIX}.
	 * @param value the copy
	 * @return these members
	 */
	public LeasedMembers withView(PrefixView value) {
		synchronized (this) {
			this.view = value;
		}
		value.addListener(this::refresh);
		value.addListener(this::endRunsBefore);
		return this;
	}

	@Override
	public Member self() {
		return this.self;
	}

	@Override
	public List<Member> members() {
		return this.known;
	}

	/**
	 * Returns the addresses of the few peers to ask in this round.
	 * @return the addresses; the seeds while no other member is known
	 */
	public List<String> targets() {
		List<Member> members = this.known;
		if (members.size() <= 1) {
			return this.seeds.stream().filter((address) -> !address.equals(this.self.address())).toList();
		}
		long round;
		synchronized (this) {
			round = this.rounds;
		}
		return PullTargets.choose(this.self, members, this.relays.get(), 1, round)
			.stream()
			.map(Member::address)
			.toList();
	}

	/**
	 * Runs one round: announces this daemon under a new lease, or greets peers while it
	 * has none.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> round() {
		long current = this.lease.heldIdentifier();
		boolean forgotten;
		synchronized (this) {
			this.rounds++;
			forgotten = this.heard.values().removeIf((one) -> isLongAgo(one.at(), HEARD_MILLISECONDS));
		}
		// Changes of the copy are heard of; reading all its entries each round costs
		// processor time that grows with the fleet.
		if (forgotten) {
			refresh();
		}
		if (current == 0) {
			return greet();
		}
		synchronized (this) {
			if (this.announcedLease == current || this.announcingLease == current) {
				return CompletableFuture.completedFuture(null);
			}
			this.announcingLease = current;
		}
		Operation put = new Operation.Put(PREFIX + this.self.incarnation(), write(this.self), current);
		return this.store.transact(new KeyValueStore.Transaction(List.of(), List.of(put)))
			.handle((outcome, failure) -> announced(current, outcome != null));
	}

	// Only one process at a time can listen at an address, so that an earlier run of this
	// instance there is over. Its lease would keep its duties from others until it ends.
	private void endRunsBefore() {
		PrefixView copy;
		synchronized (this) {
			copy = this.view;
		}
		if (copy == null) {
			return;
		}
		for (KeyValueStore.Entry entry : copy.entries()) {
			Member member = read(entry.value());
			if (member != null && isRunBefore(member) && entry.lease() != 0 && isEndedFirst(entry.lease())) {
				this.store.revokeLease(entry.lease()).exceptionally((failure) -> {
					endAgain(entry.lease());
					return null;
				});
			}
		}
	}

	private boolean isRunBefore(Member member) {
		return member.instance().equals(this.self.instance()) && member.address().equals(this.self.address())
				&& !member.incarnation().equals(this.self.incarnation());
	}

	private synchronized boolean isEndedFirst(long ended) {
		return this.endedLeases.add(ended);
	}

	private synchronized void endAgain(long ended) {
		this.endedLeases.remove(ended);
	}

	private synchronized @Nullable Void announced(long current, boolean done) {
		this.announcedLease = done ? current : this.announcedLease;
		this.announcingLease = 0;
		return null;
	}

	private boolean isLongAgo(long instant, long milliseconds) {
		return this.clock.nanoseconds() - instant >= TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

	private CompletableFuture<Void> greet() {
		synchronized (this) {
			if (this.greetedAt != null && !isLongAgo(this.greetedAt, GREETING_MILLISECONDS)) {
				return CompletableFuture.completedFuture(null);
			}
			this.greetedAt = this.clock.nanoseconds();
		}
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		for (String address : targets()) {
			calls.add(this.channel.call(address, GREETING, MAPPER.valueToTree(this.self), CALL_TIMEOUT)
				.thenAccept((answer) -> hear(MAPPER.convertValue(answer, Member.class)))
				.exceptionally((failure) -> null));
		}
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
	}

	private CompletableFuture<JsonNode> answer(JsonNode greeting) {
		hear(MAPPER.convertValue(greeting, Member.class));
		return CompletableFuture.completedFuture(MAPPER.valueToTree(this.self));
	}

	private void hear(Member member) {
		synchronized (this) {
			this.heard.put(member.incarnation(), new Heard(member, this.clock.nanoseconds()));
		}
		refresh();
	}

	private synchronized void refresh() {
		SortedMap<String, Member> members = new TreeMap<>();
		this.heard.values().forEach((one) -> members.put(one.member().incarnation(), one.member()));
		if (this.view != null) {
			for (KeyValueStore.Entry entry : this.view.entries()) {
				Member member = read(entry.value());
				if (member != null) {
					members.put(member.incarnation(), member);
				}
			}
		}
		members.put(this.self.incarnation(), this.self);
		this.known = List.copyOf(members.values());
	}

	private static String write(Member member) {
		try {
			return MAPPER.writeValueAsString(member);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a member can always be written as JSON", ex);
		}
	}

	private static @Nullable Member read(@Nullable String value) {
		try {
			return (value != null) ? MAPPER.readValue(value, Member.class) : null;
		}
		catch (JsonProcessingException ex) {
			return null;
		}
	}

	/**
	 * A member that greeted this daemon or answered a greeting.
	 *
	 * @param member the member
	 * @param at when, nanoseconds
	 */
	private record Heard(Member member, long at) {
	}

}
