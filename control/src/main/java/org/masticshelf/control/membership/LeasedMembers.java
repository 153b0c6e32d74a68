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
 * Members that each daemon announces in the key-value service under its lease.
 * <p>
 * While the key-value service is down, the last known members stay, and a daemon that
 * starts meanwhile is known only to the daemons that it greets. Safe for use by several
 * threads.
 */
public final class LeasedMembers implements Members {

	/** The prefix of the keys of all members, which end in the incarnation. */
	public static final String PREFIX = "masticshelf/member/";

	private static final String GREETING_OPERATION = "membership/greet";

	private static final long GREETING_INTERVAL_MILLISECONDS = 2_000;

	private static final long GREETED_EXPIRY_MILLISECONDS = 10_000;

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private final KeyValueStore store;

	private final PeerChannel channel;

	private final MonotonicClock clock;

	private final DaemonLease lease;

	private final Member self;

	private final List<String> seeds;

	private final Supplier<Set<String>> relays;

	private final Map<String, GreetedMember> greetedMembers = new LinkedHashMap<>();

	private final Set<Long> revokedLeases = new HashSet<>();

	private @Nullable PrefixView view;

	private @Nullable Long greetedAt;

	private long announcedLease;

	private long announcingLease;

	private long rounds;

	private volatile List<Member> knownMembers;

	/**
	 * Creates members and starts to answer greetings.
	 * @param store the key-value service
	 * @param channel the channel to peers
	 * @param clock the clock
	 * @param lease the lease of the daemon
	 * @param self this daemon
	 * @param seeds addresses of daemons from the settings, used while no other member is
	 * known
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
		this.knownMembers = List.of(self);
		channel.registerHandler(GREETING_OPERATION, this::answer);
		store.addRestoreListener(this::announceAgain);
	}

	/**
	 * Sets the view of all keys with {@link #PATH_PREFIX}.
	 * @param value the view
	 * @return this instance
	 */
	public LeasedMembers withView(PrefixView value) {
		synchronized (this) {
			this.view = value;
		}
		value.addListener(this::refresh);
		value.addListener(this::revokeLeasesOfFormerIncarnations);
		return this;
	}

	// The key may be lost although the lease is not.
	private synchronized void announceAgain() {
		this.announcedLease = 0;
	}

	@Override
	public Member self() {
		return this.self;
	}

	@Override
	public List<Member> members() {
		return this.knownMembers;
	}

	/**
	 * Returns the addresses of the peers to ask in this round.
	 * @return the addresses, which are the seeds while no other member is known
	 */
	public List<String> targets() {
		List<Member> members = this.knownMembers;
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
	 * Runs one round: announces this daemon if its lease is new, or greets peers while it
	 * has no lease.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> round() {
		long current = this.lease.heldIdentifier();
		boolean anyExpired;
		synchronized (this) {
			this.rounds++;
			anyExpired = this.greetedMembers.values()
				.removeIf((greeted) -> hasElapsedSince(greeted.at(), GREETED_EXPIRY_MILLISECONDS));
		}
		// The view notifies of changes. Reading all its entries in each round would cost
		// processor time that grows with the number of daemons.
		if (anyExpired) {
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

	// Only one process at a time can listen at an address, so an earlier incarnation of
	// this instance at the same address has ended. Its lease is revoked because otherwise
	// its duties would stay taken until the lease expires.
	private void revokeLeasesOfFormerIncarnations() {
		PrefixView currentView;
		synchronized (this) {
			currentView = this.view;
		}
		if (currentView == null) {
			return;
		}
		for (KeyValueStore.Entry entry : currentView.entries()) {
			Member member = read(entry.value());
			if (member != null && isFormerIncarnation(member) && entry.lease() != 0 && addRevokedLease(entry.lease())) {
				this.store.revokeLease(entry.lease()).exceptionally((failure) -> {
					removeRevokedLease(entry.lease());
					return null;
				});
			}
		}
	}

	private boolean isFormerIncarnation(Member member) {
		return member.instance().equals(this.self.instance()) && member.address().equals(this.self.address())
				&& !member.incarnation().equals(this.self.incarnation());
	}

	private synchronized boolean addRevokedLease(long revoked) {
		return this.revokedLeases.add(revoked);
	}

	private synchronized void removeRevokedLease(long revoked) {
		this.revokedLeases.remove(revoked);
	}

	private synchronized @Nullable Void announced(long current, boolean succeeded) {
		this.announcedLease = succeeded ? current : this.announcedLease;
		this.announcingLease = 0;
		return null;
	}

	private boolean hasElapsedSince(long instant, long milliseconds) {
		return this.clock.nanoseconds() - instant >= TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

	private CompletableFuture<Void> greet() {
		synchronized (this) {
			if (this.greetedAt != null && !hasElapsedSince(this.greetedAt, GREETING_INTERVAL_MILLISECONDS)) {
				return CompletableFuture.completedFuture(null);
			}
			this.greetedAt = this.clock.nanoseconds();
		}
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		for (String address : targets()) {
			calls.add(this.channel.call(address, GREETING_OPERATION, MAPPER.valueToTree(this.self), CALL_TIMEOUT)
				.thenAccept((answer) -> addGreeted(MAPPER.convertValue(answer, Member.class)))
				.exceptionally((failure) -> null));
		}
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
	}

	private CompletableFuture<JsonNode> answer(JsonNode greeting) {
		addGreeted(MAPPER.convertValue(greeting, Member.class));
		return CompletableFuture.completedFuture(MAPPER.valueToTree(this.self));
	}

	private void addGreeted(Member member) {
		synchronized (this) {
			this.greetedMembers.put(member.incarnation(), new GreetedMember(member, this.clock.nanoseconds()));
		}
		refresh();
	}

	private synchronized void refresh() {
		SortedMap<String, Member> members = new TreeMap<>();
		this.greetedMembers.values()
			.forEach((greeted) -> members.put(greeted.member().incarnation(), greeted.member()));
		if (this.view != null) {
			for (KeyValueStore.Entry entry : this.view.entries()) {
				Member member = read(entry.value());
				if (member != null) {
					members.put(member.incarnation(), member);
				}
			}
		}
		members.put(this.self.incarnation(), this.self);
		this.knownMembers = List.copyOf(members.values());
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
	 * @param at the time of the greeting in nanoseconds
	 */
	private record GreetedMember(Member member, long at) {
	}

}
