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
 * A copy of all entries of the key-value service whose keys have a prefix. A few daemons
 * watch the service and list it periodically, which restores changes that a watch has
 * missed; the others pull the changes from peers.
 * <p>
 * The copy may be out of date and is only a hint; an action that is based on it has to
 * compare revisions in a transaction. While the service is down, the copy stays as it
 * was. Safe for use by several threads.
 */
public final class PrefixView implements AutoCloseable {

	private static final ObjectMapper MAPPER = JsonMapper.builder().build();

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

	private static final long LIST_INTERVAL_MILLISECONDS = 5_000;

	/** How soon a list that failed is repeated. */
	private static final long LIST_RETRY_MILLISECONDS = 1_000;

	private static final long PULL_INTERVAL_MILLISECONDS = 1_000;

	private static final long LIST_BYTES_PER_MILLISECOND = 4;

	private static final long RESTORE_DETECTION_MILLISECONDS = 10_000;

	private static final int MAXIMUM_REMEMBERED_CHANGES = 256;

	private static final Long ZERO_MILLISECONDS_AGO = 0L;

	private final KeyValueStore store;

	private final PeerChannel channel;

	private final MonotonicClock clock;

	private final String prefix;

	private final String operation;

	private final BooleanSupplier asksService;

	private final Supplier<List<String>> targets;

	private final long listIntervalMilliseconds;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	private final SortedMap<String, Entry> entries = new TreeMap<>();

	private final Deque<Change> changes = new ArrayDeque<>();

	private long historyStartRevision;

	private long revision;

	private long listedBytes;

	private long listedRevision;

	private @Nullable Long listedAt;

	private @Nullable Long learntAt;

	private @Nullable Long pulledAt;

	private KeyValueStore.@Nullable Watch watch;

	/**
	 * Creates a view and starts to answer peers.
	 * @param store the key-value service
	 * @param channel the channel to peers
	 * @param clock the clock
	 * @param prefix the prefix of the keys
	 * @param asksService returns whether this daemon currently asks the service
	 * @param targets returns the addresses of the peers to pull from otherwise
	 */
	public PrefixView(KeyValueStore store, PeerChannel channel, MonotonicClock clock, String prefix,
			BooleanSupplier asksService, Supplier<List<String>> targets) {
		this(store, channel, clock, prefix, asksService, targets, LIST_INTERVAL_MILLISECONDS);
	}

	/**
	 * Creates a view that always asks the service itself, for a service whose watches
	 * miss no change. It neither pulls from peers nor answers them.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param prefix the prefix of the keys
	 * @param listInterval how often to list the keys nevertheless
	 * @return the view
	 */
	public static PrefixView watching(KeyValueStore store, MonotonicClock clock, String prefix, Duration listInterval) {
		return new PrefixView(store, PeerChannel.Disabled.INSTANCE, clock, prefix, () -> true, List::of,
				listInterval.toMillis());
	}

	private PrefixView(KeyValueStore store, PeerChannel channel, MonotonicClock clock, String prefix,
			BooleanSupplier asksService, Supplier<List<String>> targets, long listIntervalMilliseconds) {
		this.listIntervalMilliseconds = listIntervalMilliseconds;
		this.store = store;
		this.channel = channel;
		this.clock = clock;
		this.prefix = prefix;
		this.operation = "view/" + prefix;
		this.asksService = asksService;
		this.targets = targets;
		channel.registerHandler(this.operation, (question) -> CompletableFuture
			.completedFuture(MAPPER.valueToTree(answer(question.path("revision").asLong()))));
	}

	/**
	 * Returns the entries of the copy.
	 * @return the entries in the order of their keys
	 */
	public synchronized List<Entry> entries() {
		return List.copyOf(this.entries.values());
	}

	/**
	 * Finds an entry.
	 * @param key the key
	 * @return the entry, or {@code null} if the copy has none
	 */
	public synchronized @Nullable Entry find(String key) {
		return this.entries.get(key);
	}

	/**
	 * Returns the revision of the service that the copy reflects.
	 * @return the revision, 0 before the first list or pull
	 */
	public synchronized long revision() {
		return this.revision;
	}

	/**
	 * Returns the revision of the last list of the service or of a peer's whole copy.
	 * @return the revision, 0 before the first
	 */
	public synchronized long listedRevision() {
		return this.listedRevision;
	}

	/**
	 * Adds a listener that is called after each change of the copy.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Runs one round: keeps the watch open and lists if that is due, or pulls from peers.
	 * @return completed when the round has ended
	 */
	public CompletableFuture<Void> round() {
		if (this.asksService.getAsBoolean() || !isRecentlyLearnt()) {
			if (this.asksService.getAsBoolean()) {
				startWatch();
			}
			CompletableFuture<Void> listed = listOnceWatched();
			return this.asksService.getAsBoolean() ? listed : CompletableFuture.allOf(listed, pull());
		}
		close();
		return pullIsDue() ? pull() : CompletableFuture.completedFuture(null);
	}

	private synchronized boolean pullIsDue() {
		boolean due = this.pulledAt == null || elapsedMilliseconds(this.pulledAt) >= PULL_INTERVAL_MILLISECONDS;
		this.pulledAt = due ? Long.valueOf(this.clock.nanoseconds()) : this.pulledAt;
		return due;
	}

	private synchronized boolean isRecentlyLearnt() {
		return this.learntAt != null && elapsedMilliseconds(this.learntAt) < LIST_INTERVAL_MILLISECONDS;
	}

	private long elapsedMilliseconds(long instant) {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoseconds() - instant);
	}

	// A change between the list and the start of the watch would be missed by both.
	private CompletableFuture<Void> listOnceWatched() {
		KeyValueStore.Watch current;
		synchronized (this) {
			current = this.watch;
		}
		if (current == null || current.started().isDone()) {
			return list();
		}
		return CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> list() {
		synchronized (this) {
			long interval = Math.max(this.listIntervalMilliseconds, this.listedBytes / LIST_BYTES_PER_MILLISECOND);
			if (this.listedAt != null && elapsedMilliseconds(this.listedAt) < interval) {
				return CompletableFuture.completedFuture(null);
			}
			this.listedAt = this.clock.nanoseconds();
		}
		return this.store.list(this.prefix)
			.thenAccept((snapshot) -> replace(snapshot.entries(), snapshot.revision(), ZERO_MILLISECONDS_AGO))
			.exceptionally((failure) -> listAgainSoon());
	}

	private synchronized @Nullable Void listAgainSoon() {
		long interval = Math.max(this.listIntervalMilliseconds, this.listedBytes / LIST_BYTES_PER_MILLISECOND);
		this.listedAt = this.clock.nanoseconds()
				- TimeUnit.MILLISECONDS.toNanos(interval - Math.min(interval, LIST_RETRY_MILLISECONDS));
		return null;
	}

	private CompletableFuture<Void> pull() {
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		for (String address : this.targets.get()) {
			JsonNode question = MAPPER.createObjectNode().put("revision", revision());
			calls.add(this.channel.call(address, this.operation, question, CALL_TIMEOUT)
				.thenAccept(this::acceptAnswer)
				.exceptionally((failure) -> null));
		}
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new));
	}

	private void acceptAnswer(JsonNode tree) {
		Answer answer = MAPPER.convertValue(tree, Answer.class);
		boolean isAcceptable;
		synchronized (this) {
			isAcceptable = answer.revision > this.revision
					|| (this.learntAt != null && elapsedMilliseconds(this.learntAt) > RESTORE_DETECTION_MILLISECONDS);
			if (answer.revision == this.revision) {
				updateLearntAt(answer.learntAgo);
			}
		}
		if (!isAcceptable || answer.revision == 0) {
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
		Long learntAgo = (this.learntAt != null) ? Long.valueOf(elapsedMilliseconds(this.learntAt)) : null;
		if (known >= this.historyStartRevision && known <= this.revision) {
			List<Entry> later = this.changes.stream()
				.filter((change) -> change.noticedRevision() > known)
				.map(Change::entry)
				.toList();
			return new Answer(this.revision, learntAgo, false, later);
		}
		return new Answer(this.revision, learntAgo, true, List.copyOf(this.entries.values()));
	}

	// Peers pass on the age of their copy, so that two peers cannot keep refreshing each
	// other's copy without the service.
	private void updateLearntAt(@Nullable Long millisecondsAgo) {
		if (millisecondsAgo == null) {
			return;
		}
		long at = this.clock.nanoseconds() - TimeUnit.MILLISECONDS.toNanos(millisecondsAgo);
		if (this.learntAt == null || at - this.learntAt > 0) {
			this.learntAt = at;
		}
	}

	private void replace(List<Entry> whole, long atRevision, @Nullable Long learntAgo) {
		boolean changed = false;
		synchronized (this) {
			updateLearntAt(learntAgo);
			if (rejectOlderSnapshot(atRevision)) {
				return;
			}
			Set<String> deletedKeys = new TreeSet<>(this.entries.keySet());
			long previousRevision = this.revision;
			for (Entry entry : whole) {
				deletedKeys.remove(entry.key());
				if (!entry.equals(this.entries.get(entry.key()))) {
					boolean missedByWatch = entry.modifyRevision() <= previousRevision;
					recordChange(entry, missedByWatch ? atRevision + 1 : entry.modifyRevision());
					changed = true;
				}
			}
			for (String key : deletedKeys) {
				recordChange(new Entry(key, null, 0, atRevision, 0),
						(atRevision > previousRevision) ? atRevision : atRevision + 1);
				changed = true;
			}
			if (previousRevision == 0) {
				this.changes.clear();
				this.historyStartRevision = atRevision;
			}
			this.listedBytes = whole.stream().mapToLong(PrefixView::size).sum();
			this.revision = atRevision;
			this.listedRevision = atRevision;
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
	}

	// A snapshot that is older than the copy is skipped, since it would undo newer
	// changes until the next snapshot. A service that was restored keeps answering with
	// lower revisions, so the copy's revision is lowered and the next snapshot replaces
	// the copy. Peers then need the whole copy.
	private boolean rejectOlderSnapshot(long atRevision) {
		boolean isOlder = atRevision < this.revision;
		if (isOlder) {
			this.historyStartRevision = Math.max(this.historyStartRevision, this.revision);
			this.revision = atRevision;
		}
		return isOlder;
	}

	private static long size(Entry entry) {
		String value = entry.value();
		return entry.key().length() + ((value != null) ? value.length() : 0);
	}

	private void apply(List<Entry> changedEntries, long atRevision, @Nullable Long learntAgo) {
		boolean changed = false;
		synchronized (this) {
			for (Entry entry : changedEntries) {
				Entry known = this.entries.get(entry.key());
				if (known == null || known.modifyRevision() < entry.modifyRevision()) {
					changed = true;
					recordChange(entry, Math.max(entry.modifyRevision(), this.revision + 1));
				}
			}
			this.revision = Math.max(this.revision, atRevision);
			updateLearntAt(learntAgo);
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
	}

	private void recordChange(Entry entry, long noticedRevision) {
		if (entry.value() != null) {
			this.entries.put(entry.key(), entry);
		}
		else {
			this.entries.remove(entry.key());
		}
		this.changes.addLast(new Change(entry, noticedRevision));
		if (this.changes.size() > MAXIMUM_REMEMBERED_CHANGES) {
			this.historyStartRevision = Math.max(this.historyStartRevision,
					this.changes.removeFirst().noticedRevision());
		}
	}

	private void startWatch() {
		synchronized (this) {
			if (this.watch != null) {
				return;
			}
		}
		ChangeListener listener = new ChangeListener();
		KeyValueStore.Watch started = this.store.watch(this.prefix, 0, listener);
		synchronized (this) {
			this.watch = listener.broken ? null : started;
		}
		if (!started.started().isDone()) {
			started.started().thenRun(this::list);
		}
	}

	@Override
	public void close() {
		KeyValueStore.Watch closing;
		synchronized (this) {
			closing = this.watch;
			this.watch = null;
		}
		if (closing != null) {
			closing.close();
		}
	}

	private final class ChangeListener implements KeyValueStore.WatchListener {

		private volatile boolean broken;

		@Override
		public void onChange(List<Entry> entries, long atRevision) {
			apply(entries, atRevision, ZERO_MILLISECONDS_AGO);
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
	 * @param noticedRevision peers whose copy has a lower revision may not have the
	 * change; higher than the revision of the entry if the watch had missed it
	 */
	private record Change(Entry entry, long noticedRevision) {
	}

	/**
	 * The answer to a peer's pull.
	 *
	 * @param revision the revision of the copy
	 * @param learntAgo how many milliseconds ago the copy was learnt from the service,
	 * {@code null} if never
	 * @param whole whether the entries are the whole copy or only those changed since the
	 * asker's revision
	 * @param entries the entries, with a {@code null} value where one was deleted
	 */
	private record Answer(long revision, @Nullable Long learntAgo, boolean whole, List<Entry> entries) {
	}

}
