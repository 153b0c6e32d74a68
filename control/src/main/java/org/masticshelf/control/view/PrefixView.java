package org.masticshelf.control.view;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.KeyValueStore.Entry;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * A copy of all keys with a prefix. A few daemons watch the service and list it now and
 * then, which repairs what a watch lost; the others learn the changes from peers.
 * <p>
 * The copy may lag and is a hint only; whoever acts on it compares in a transaction.
 * While the service is down the copy stays as it was. Safe for use by several threads.
 */
public final class PrefixView implements AutoCloseable {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

	private static final long LIST_MILLISECONDS = 5_000;

	private static final long PULL_MILLISECONDS = 1_000;

	private static final long LIST_BYTES_PER_MILLISECOND = 4;

	private static final long RESTORED_MILLISECONDS = 10_000;

	private static final int REMEMBERED_CHANGES = 256;

	private static final Long NOW = 0L;

	private final KeyValueStore store;

	private final PeerChannel channel;

	private final MonotonicClock clock;

	private final String prefix;

	private final String operation;

	private final BooleanSupplier direct;

	private final Supplier<List<String>> targets;

	private final long listMilliseconds;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final SortedMap<String, Entry> entries = new TreeMap<>();

	private final Deque<Change> changes = new ArrayDeque<>();

	private long forgottenRevision;

	private long revision;

	private long bytes;

	private @Nullable Long listedAt;

	private @Nullable Long learntAt;

	private @Nullable Long pulledAt;

	private KeyValueStore.@Nullable Watch watch;

	/**
	 * Creates a view and begins to answer peers.
	 * @param store the key-value service
	 * @param channel the channel to peers
	 * @param clock the clock
	 * @param prefix the prefix of the keys
	 * @param direct tells whether this daemon asks the service now
	 * @param targets returns the addresses of the peers to ask otherwise
	 */
	public PrefixView(KeyValueStore store, PeerChannel channel, MonotonicClock clock, String prefix,
			BooleanSupplier direct, Supplier<List<String>> targets) {
		this(store, channel, clock, prefix, direct, targets, LIST_MILLISECONDS);
	}

	/**
	 * Creates a view of a service whose watches lose nothing, and begins to answer peers.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param prefix the prefix of the keys
	 * @param listing how often to list the keys all the same
	 * @return the view, which always asks the service itself
	 */
	public static PrefixView watching(KeyValueStore store, MonotonicClock clock, String prefix, Duration listing) {
		return new PrefixView(store, PeerChannel.Disabled.INSTANCE, clock, prefix, () -> true, List::of,
				listing.toMillis());
	}

	private PrefixView(KeyValueStore store, PeerChannel channel, MonotonicClock clock, String prefix,
			BooleanSupplier direct, Supplier<List<String>> targets, long listMilliseconds) {
		this.listMilliseconds = listMilliseconds;
		this.store = store;
		this.channel = channel;
		this.clock = clock;
		this.prefix = prefix;
		this.operation = "view/" + prefix;
		this.direct = direct;
		this.targets = targets;
		channel.registerHandler(this.operation, (question) -> CompletableFuture
			.completedFuture(MAPPER.valueToTree(answer(question.path("revision").asLong()))));
	}

	/**
	 * Returns the copied entries.
	 * @return the entries in the order of their keys
	 */
	public synchronized List<Entry> entries() {
		return List.copyOf(this.entries.values());
	}

	/**
	 * Finds an entry.
	 * @param key the key
	 * @return the entry or {@code null} if the copy holds none
	 */
	public synchronized @Nullable Entry find(String key) {
		return this.entries.get(key);
	}

	/**
	 * Returns the revision of the service that the copy is of.
	 * @return the revision, 0 if nothing has been learnt yet
	 */
	public synchronized long revision() {
		return this.revision;
	}

	/**
	 * Adds a listener that is called after each change of the copy.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Runs one round: keeps the watch running and lists if it is time, or asks peers.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> round() {
		if (this.direct.getAsBoolean() || !isLearntLately()) {
			if (this.direct.getAsBoolean()) {
				startWatch();
			}
			CompletableFuture<Void> listed = list();
			return this.direct.getAsBoolean() ? listed : CompletableFuture.allOf(listed, pull());
		}
		close();
		return pullIsDue() ? pull() : CompletableFuture.completedFuture(null);
	}

	private synchronized boolean pullIsDue() {
		boolean due = this.pulledAt == null || sinceMilliseconds(this.pulledAt) >= PULL_MILLISECONDS;
		this.pulledAt = due ? Long.valueOf(this.clock.nanoseconds()) : this.pulledAt;
		return due;
	}

	private synchronized boolean isLearntLately() {
		return this.learntAt != null && sinceMilliseconds(this.learntAt) < LIST_MILLISECONDS;
	}

	private long sinceMilliseconds(long instant) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoseconds() - instant);
	}

	private CompletableFuture<Void> list() {
		synchronized (this) {
			long interval = Math.max(this.listMilliseconds, this.bytes / LIST_BYTES_PER_MILLISECOND);
			if (this.listedAt != null && sinceMilliseconds(this.listedAt) < interval) {
				return CompletableFuture.completedFuture(null);
			}
			this.listedAt = this.clock.nanoseconds();
		}
		return this.store.list(this.prefix)
			.thenAccept((snapshot) -> replace(snapshot.entries(), snapshot.revision(), NOW))
			.exceptionally((failure) -> null);
	}

	private CompletableFuture<Void> pull() {
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		for (String address : this.targets.get()) {
			JsonNode question = MAPPER.createObjectNode().put("revision", revision());
			calls.add(this.channel.call(address, this.operation, question, CALL_TIMEOUT)
				.thenAccept(this::learn)
				.exceptionally((failure) -> null));
		}
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
	}

	private void learn(JsonNode tree) {
		Answer answer = MAPPER.convertValue(tree, Answer.class);
		boolean trusted;
		synchronized (this) {
			trusted = answer.revision > this.revision
					|| (this.learntAt != null && sinceMilliseconds(this.learntAt) > RESTORED_MILLISECONDS);
			if (answer.revision == this.revision) {
				learnt(answer.learntAgo);
			}
		}
		if (!trusted || answer.revision == 0) {
			return;
		}
		if (answer.whole) {
			replace(answer.entries, answer.revision, answer.learntAgo);
		}
		else {
			apply(answer.entries, answer.revision, answer.learntAgo);
		}
	}

	private synchronized Answer answer(long known) {
		Long learntAgo = (this.learntAt != null) ? Long.valueOf(sinceMilliseconds(this.learntAt)) : null;
		if (known >= this.forgottenRevision && known <= this.revision) {
			List<Entry> later = this.changes.stream()
				.filter((change) -> change.noticedAt() > known)
				.map(Change::entry)
				.toList();
			return new Answer(this.revision, learntAgo, false, later);
		}
		return new Answer(this.revision, learntAgo, true, List.copyOf(this.entries.values()));
	}

	// Peers pass on the age of what they know, so that two copies never keep each other
	// young.
	private void learnt(@Nullable Long millisecondsAgo) {
		if (millisecondsAgo == null) {
			return;
		}
		long at = this.clock.nanoseconds() - TimeUnit.MILLISECONDS.toNanos(millisecondsAgo);
		if (this.learntAt == null || at - this.learntAt > 0) {
			this.learntAt = at;
		}
	}

	private void replace(List<Entry> whole, long atRevision, @Nullable Long learntAgo) {
		boolean news = false;
		synchronized (this) {
			learnt(learntAgo);
			if (isOvertaken(atRevision)) {
				return;
			}
			Set<String> gone = new TreeSet<>(this.entries.keySet());
			long before = this.revision;
			for (Entry entry : whole) {
				gone.remove(entry.key());
				if (!entry.equals(this.entries.get(entry.key()))) {
					boolean lost = entry.modifyRevision() <= before;
					keep(entry, lost ? atRevision + 1 : entry.modifyRevision());
					news = true;
				}
			}
			for (String key : gone) {
				keep(new Entry(key, null, 0, atRevision, 0), (atRevision > before) ? atRevision : atRevision + 1);
				news = true;
			}
			if (before == 0) {
				this.changes.clear();
				this.forgottenRevision = atRevision;
			}
			this.bytes = whole.stream().mapToLong(PrefixView::size).sum();
			this.revision = atRevision;
		}
		if (news) {
			this.listeners.forEach(Runnable::run);
		}
	}

	// A snapshot that was taken before a change which is known already would undo it
	// until the next one. A service that was restored answers with lower revisions for
	// good, so that the copy is replaced when the next snapshot is older, too. Peers then
	// need the whole copy.
	private boolean isOvertaken(long atRevision) {
		boolean older = atRevision < this.revision;
		if (older) {
			this.forgottenRevision = Math.max(this.forgottenRevision, this.revision);
			this.revision = atRevision;
		}
		return older;
	}

	private static long size(Entry entry) {
		String value = entry.value();
		return entry.key().length() + ((value != null) ? value.length() : 0);
	}

	private void apply(List<Entry> changed, long atRevision, @Nullable Long learntAgo) {
		boolean news = false;
		synchronized (this) {
			for (Entry entry : changed) {
				Entry known = this.entries.get(entry.key());
				if (known == null || known.modifyRevision() < entry.modifyRevision()) {
					news = true;
					keep(entry, Math.max(entry.modifyRevision(), this.revision + 1));
				}
			}
			this.revision = Math.max(this.revision, atRevision);
			learnt(learntAgo);
		}
		if (news) {
			this.listeners.forEach(Runnable::run);
		}
	}

	private void keep(Entry entry, long noticedAt) {
		if (entry.value() != null) {
			this.entries.put(entry.key(), entry);
		}
		else {
			this.entries.remove(entry.key());
		}
		this.changes.addLast(new Change(entry, noticedAt));
		if (this.changes.size() > REMEMBERED_CHANGES) {
			this.forgottenRevision = Math.max(this.forgottenRevision, this.changes.removeFirst().noticedAt());
		}
	}

	private void startWatch() {
		synchronized (this) {
			if (this.watch != null) {
				return;
			}
		}
		Listener listener = new Listener();
		KeyValueStore.Watch started = this.store.watch(this.prefix, 0, listener);
		synchronized (this) {
			this.watch = listener.broken ? null : started;
		}
	}

	@Override
	public void close() {
		KeyValueStore.Watch ended;
		synchronized (this) {
			ended = this.watch;
			this.watch = null;
		}
		if (ended != null) {
			ended.close();
		}
	}

	private final class Listener implements KeyValueStore.WatchListener {

		private volatile boolean broken;

		@Override
		public void onChange(List<Entry> entries, long atRevision) {
			apply(entries, atRevision, NOW);
		}

		@Override
		public void onFailure(KeyValueFailure failure) {
			this.broken = true;
			synchronized (PrefixView.this) {
				PrefixView.this.watch = null;
				PrefixView.this.listedAt = null;
			}
		}

	}

	/**
	 * A change of the copy.
	 *
	 * @param entry the entry, with a {@code null} value if it was deleted
	 * @param noticedAt peers whose copy is of an earlier revision may not have it; higher
	 * than the revision of the entry if a watch had lost it
	 */
	private record Change(Entry entry, long noticedAt) {
	}

	/**
	 * What a peer answers.
	 *
	 * @param revision the revision of its copy
	 * @param learntAgo how long ago the copy was learnt from the service, milliseconds,
	 * {@code null} if never
	 * @param whole whether the entries are all or only those changed since
	 * @param entries the entries, with a {@code null} value where one was deleted
	 */
	private record Answer(long revision, @Nullable Long learntAgo, boolean whole, List<Entry> entries) {
	}

}
