package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationReader.HeadEntry;
import org.masticshelf.control.configuration.ConfigurationState.Adopted;
import org.masticshelf.kernel.configuration.AdoptionDecision;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Fetches configurations from the key-value service and writes the configuration in force
 * back to a service that was restored to an older state.
 * <p>
 * A watch event only triggers a read of the head, so lost, repeated and late events do no
 * harm. Each write is conditional on the head that was read, so of several daemons only
 * one writes. Safe for use by several threads.
 */
final class ConfigurationStoreSynchronizer implements AutoCloseable {

	private final KeyValueStore store;

	private final ConfigurationReader reader;

	private final MonotonicClock clock;

	private final ConfigurationState state;

	private final Consumer<Event> log;

	private KeyValueStore.@Nullable Watch watch;

	private long olderHeadSeenAt;

	/**
	 * Creates a synchronizer.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param state the configuration in force
	 * @param log receives the events
	 */
	ConfigurationStoreSynchronizer(KeyValueStore store, MonotonicClock clock, ConfigurationState state,
			Consumer<Event> log) {
		this.store = store;
		this.reader = new ConfigurationReader(store);
		this.clock = clock;
		this.state = state;
		this.log = log;
	}

	/**
	 * Starts or stops the watch.
	 * @param watching whether to watch from now on
	 */
	void setWatching(boolean watching) {
		KeyValueStore.Watch ended = null;
		synchronized (this) {
			if (watching == (this.watch != null)) {
				return;
			}
			if (!watching) {
				ended = this.watch;
				this.watch = null;
			}
		}
		if (ended != null) {
			ended.close();
			return;
		}
		Listener listener = new Listener();
		KeyValueStore.Watch started = this.store.watch(ConfigurationKeys.HEAD, 0, listener);
		synchronized (this) {
			this.watch = listener.broken ? null : started;
		}
	}

	/**
	 * Reads the head and fetches its configuration if it is newer.
	 * @return completes when done, even if the service gave no answer
	 */
	CompletableFuture<Void> poll() {
		long sentAt = this.clock.nanoseconds();
		return this.reader.readHead().thenCompose((entry) -> {
			this.state.recordServiceAnswer(sentAt);
			return handleHead(entry, sentAt);
		}).exceptionally((failure) -> null);
	}

	private CompletableFuture<Void> handleHead(HeadEntry entry, long sentAt) {
		return switch (this.state.observe(entry.head(), ConfigurationState.SERVICE_SOURCE)) {
			case AdoptionDecision.Confirm confirm -> {
				this.state.confirm(entry.head().revision(), entry.head().manifest(), sentAt);
				yield CompletableFuture.completedFuture(null);
			}
			case AdoptionDecision.Fetch fetch -> fetch(sentAt);
			case AdoptionDecision.KeepNewer keep -> writeBack(entry);
			case AdoptionDecision.Fork fork -> mergeFork(entry);
		};
	}

	private CompletableFuture<Void> fetch(long sentAt) {
		return this.reader.read(this.state.adopted().toKnown()).thenAccept((found) -> {
			this.state.adopt(found.head(), found.pages(), ConfigurationState.SERVICE_SOURCE);
			this.state.confirm(found.head().revision(), found.head().manifest(), sentAt);
		}).exceptionally((failure) -> {
			this.log.accept(Event.named("configuration.unreadable").with("reason", failure.getMessage()));
			return null;
		});
	}

	// The older head has to be seen twice, so that an answer that arrives out of order
	// causes no write.
	private CompletableFuture<Void> writeBack(HeadEntry entry) {
		synchronized (this) {
			boolean again = this.olderHeadSeenAt == entry.modifyRevision() + 1;
			this.olderHeadSeenAt = entry.modifyRevision() + 1;
			if (!again) {
				return CompletableFuture.completedFuture(null);
			}
		}
		Adopted own = this.state.adopted();
		return readStoredPages().thenCompose((stored) -> write(entry, stored, own.head(), own.pages()));
	}

	private CompletableFuture<Void> mergeFork(HeadEntry entry) {
		Adopted own = this.state.adopted();
		return this.reader.read(own.toKnown()).thenCompose((stored) -> {
			if (stored.headModifyRevision() != entry.modifyRevision()) {
				return CompletableFuture.completedFuture(null);
			}
			Pages pages = Pages.of(mergeWithdrawals(stored.pages().toTables(), own.configuration().tables()));
			Head head = Head.of(own.head().revision() + 1, "join-" + own.head().change() + "-" + entry.head().change(),
					"masticshelf", "joined with " + entry.head().author(), stored.pages().toManifest(),
					pages.toManifest());
			return write(entry, stored.pages(), head, pages);
		});
	}

	// The tables of the later change win, but a key that either side has withdrawn stays
	// withdrawn.
	private static Tables mergeWithdrawals(Tables later, Tables own) {
		Set<String> withdrawn = new HashSet<>();
		own.keys().stream().filter(OrganisationKey::withdrawn).forEach((key) -> withdrawn.add(key.digest()));
		List<OrganisationKey> keys = new ArrayList<>();
		for (OrganisationKey key : later.keys()) {
			keys.add(new OrganisationKey(key.digest(), key.organisation(), key.expiresAtEpochSeconds(),
					key.withdrawn() || withdrawn.contains(key.digest())));
		}
		return new Tables(later.routes(), later.pools(), later.organisations(), keys);
	}

	private CompletableFuture<Pages> readStoredPages() {
		return this.reader.read(this.state.adopted().toKnown())
			.thenApply(StoredConfiguration::pages)
			.exceptionally((failure) -> Pages.collect(List.of()));
	}

	private CompletableFuture<Void> write(HeadEntry entry, Pages stored, Head head, Pages pages) {
		return ConfigurationTransaction.from(stored, entry.modifyRevision())
			.to(head, pages)
			.stage(this.store)
			.thenCompose(this.store::transact)
			.thenAccept((outcome) -> this.log.accept(Event.named("configuration.written_back")
				.with("revision", head.revision())
				.with("over_revision", entry.head().revision())
				.with("applied", outcome.applied())));
	}

	@Override
	public void close() {
		setWatching(false);
	}

	private final class Listener implements KeyValueStore.WatchListener {

		private volatile boolean broken;

		@Override
		public void onChange(List<KeyValueStore.Entry> entries, long revision) {
			poll();
		}

		@Override
		public void onFailure(KeyValueFailure failure) {
			this.broken = true;
			synchronized (ConfigurationStoreSynchronizer.this) {
				ConfigurationStoreSynchronizer.this.watch = null;
			}
		}

	}

}
