package org.masticshelf.control.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Manifest;
import org.masticshelf.kernel.configuration.Mistake;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesValidator;
import org.masticshelf.kernel.port.KeyValueFailure;
import org.masticshelf.kernel.port.KeyValueStore;

/**
 * Writes accepted changes of the configuration for operators.
 * <p>
 * Invariants: a change takes effect in one transaction that is conditional on the head,
 * so of two concurrent operators one gets a conflict; a change whose answer was lost is
 * recognised by its identifier and never takes effect twice. Safe for use by several
 * threads.
 */
public final class ConfigurationWriter {

	private static final int MAXIMUM_ATTEMPTS = 5;

	private static final long RETRY_PAUSE_MILLISECONDS = 200;

	private final KeyValueStore store;

	private final ConfigurationReader reader;

	private final String author;

	private final Supplier<String> changeIdentifiers;

	private final Executor retryExecutor;

	private ConfigurationWriter(KeyValueStore store, String author, Supplier<String> changeIdentifiers,
			Executor retryExecutor) {
		this.store = store;
		this.reader = new ConfigurationReader(store);
		this.author = author;
		this.changeIdentifiers = changeIdentifiers;
		this.retryExecutor = retryExecutor;
	}

	/**
	 * Creates a writer.
	 * @param store the key-value service
	 * @param author who makes the changes
	 * @return the writer
	 */
	public static ConfigurationWriter of(KeyValueStore store, String author) {
		Executor retryExecutor = CompletableFuture.delayedExecutor(RETRY_PAUSE_MILLISECONDS, TimeUnit.MILLISECONDS);
		return new ConfigurationWriter(store, author, () -> UUID.randomUUID().toString(), retryExecutor);
	}

	/**
	 * Returns a writer that runs its retries on another executor.
	 * @param executor runs a retry after a pause
	 * @return the writer
	 */
	public ConfigurationWriter withRetryExecutor(Executor executor) {
		return new ConfigurationWriter(this.store, this.author, this.changeIdentifiers, executor);
	}

	/**
	 * Reads the newest configuration.
	 * @return the configuration; the future fails with a {@link KeyValueFailure} if the
	 * service is unavailable
	 */
	public CompletableFuture<StoredConfiguration> read() {
		return this.reader.read(ConfigurationReader.Known.NOTHING);
	}

	/**
	 * Reads the latest heads that are kept.
	 * @return the heads, the newest first
	 */
	public CompletableFuture<List<Head>> history() {
		return this.store.list(ConfigurationKeys.HISTORY_PREFIX)
			.thenApply((snapshot) -> snapshot.entries()
				.stream()
				.map(KeyValueStore.Entry::value)
				.filter(Objects::nonNull)
				.map(Head::parse)
				.sorted(Comparator.comparingLong(Head::revision).reversed())
				.toList());
	}

	/**
	 * Replaces the tables.
	 * @param tables the new tables
	 * @param expectedRevision the revision that the change is based on
	 * @param note why the tables are changed
	 * @return the result of the change, never a failed future
	 */
	public CompletableFuture<Result> apply(Tables tables, long expectedRevision, String note) {
		List<Mistake> mistakes = mistakesOf(tables);
		if (!mistakes.isEmpty()) {
			return CompletableFuture.completedFuture(new Result.Invalid(mistakes));
		}
		return mapFailure(read().thenCompose((current) -> {
			if (current.head().revision() != expectedRevision) {
				return CompletableFuture.completedFuture(Result.Conflict.with(current.head()));
			}
			return write(current, Pages.of(tables), note);
		}));
	}

	/**
	 * Issues or withdraws keys. A conflict with another change is resolved by applying
	 * the change of the keys to the newer tables.
	 * @param change computes the new keys from the present ones
	 * @param lowestRevision the highest revision known to be in force at a daemon; the
	 * change is refused with a conflict while the service shows an older one
	 * @param note why the keys are changed
	 * @return the result of the change, never a failed future
	 */
	public CompletableFuture<Result> changeKeys(UnaryOperator<List<OrganisationKey>> change, long lowestRevision,
			String note) {
		return mapFailure(changeKeys(change, lowestRevision, note, 1));
	}

	private CompletableFuture<Result> changeKeys(UnaryOperator<List<OrganisationKey>> change, long lowestRevision,
			String note, int attempt) {
		return read().thenCompose((current) -> {
			if (current.head().revision() < lowestRevision) {
				return CompletableFuture.completedFuture(Result.Conflict.with(current.head()));
			}
			Tables before = current.pages().toTables();
			Tables after = new Tables(before.routes(), before.pools(), before.organisations(),
					change.apply(before.keys()));
			List<Mistake> mistakes = mistakesOf(after);
			if (!mistakes.isEmpty()) {
				return CompletableFuture.completedFuture(new Result.Invalid(mistakes));
			}
			return write(current, Pages.of(after), note);
		}).thenCompose((result) -> {
			boolean again = result instanceof Result.Conflict conflict && conflict.revision() >= lowestRevision
					&& attempt < MAXIMUM_ATTEMPTS;
			return again ? changeKeys(change, lowestRevision, note, attempt + 1)
					: CompletableFuture.completedFuture(result);
		});
	}

	private static List<Mistake> mistakesOf(Tables tables) {
		List<Mistake> mistakes = TablesValidator.findMistakes(tables);
		return mistakes.isEmpty() ? Pages.of(tables).findMistakes() : mistakes;
	}

	private CompletableFuture<Result> write(StoredConfiguration current, Pages pages, String note) {
		Manifest before = current.pages().toManifest();
		Manifest after = pages.toManifest();
		if (before.equals(after)) {
			return CompletableFuture.completedFuture(new Result.Accepted(current.head().revision()));
		}
		Head head = Head.of(current.head().revision() + 1, this.changeIdentifiers.get(), this.author, note, before,
				after);
		ConfigurationTransaction transaction = ConfigurationTransaction
			.from(current.pages(), current.headModifyRevision())
			.to(head, pages);
		return transaction.stage(this.store).thenCompose((staged) -> transact(head, current, staged, 1));
	}

	private CompletableFuture<Result> transact(Head head, StoredConfiguration current,
			KeyValueStore.Transaction transaction, int attempt) {
		return this.store.transact(transaction)
			.handle((outcome, failure) -> attemptOf(outcome, failure))
			.thenCompose((attemptOutcome) -> switch (attemptOutcome) {
				case APPLIED -> CompletableFuture.<Result>completedFuture(new Result.Accepted(head.revision()));
				case REFUSED -> resolveByHistory(head);
				case NOT_APPLIED -> CompletableFuture.<Result>completedFuture(new Result.Unavailable(false));
				case IN_DOUBT -> resolveDoubt(head, current, transaction, attempt);
			});
	}

	private static AttemptOutcome attemptOf(KeyValueStore.@Nullable Outcome outcome, @Nullable Throwable failure) {
		if (outcome != null) {
			return outcome.applied() ? AttemptOutcome.APPLIED : AttemptOutcome.REFUSED;
		}
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		boolean maybeApplied = !(cause instanceof KeyValueFailure answer) || answer.maybeApplied();
		return maybeApplied ? AttemptOutcome.IN_DOUBT : AttemptOutcome.NOT_APPLIED;
	}

	// Reads the head to find out whether a change in doubt took effect. The same
	// transaction is sent again only while the head is the one that it is conditional on,
	// so it takes effect at most once.
	private CompletableFuture<Result> resolveDoubt(Head head, StoredConfiguration current,
			KeyValueStore.Transaction transaction, int attempt) {
		if (attempt >= MAXIMUM_ATTEMPTS) {
			return CompletableFuture.completedFuture(new Result.Unavailable(true));
		}
		return this.reader.readHead()
			.handle((entry, failure) -> (failure != null) ? null : entry)
			.thenComposeAsync((entry) -> {
				if (entry == null) {
					return resolveDoubt(head, current, transaction, attempt + 1);
				}
				if (entry.modifyRevision() == current.headModifyRevision()) {
					return transact(head, current, transaction, attempt + 1);
				}
				return resolveByHistory(head);
			}, this.retryExecutor);
	}

	private CompletableFuture<Result> resolveByHistory(Head own) {
		return this.store.get(ConfigurationKeys.historyKey(own.revision())).thenCompose((slot) -> {
			if (isOwn(slot.value(), own)) {
				return CompletableFuture.<Result>completedFuture(new Result.Accepted(own.revision()));
			}
			return this.reader.readHead().<Result>thenApply((entry) -> Result.Conflict.with(entry.head()));
		}).exceptionally((failure) -> new Result.Unavailable(true));
	}

	private static boolean isOwn(@Nullable String slot, Head own) {
		return slot != null && Head.parse(slot).change().equals(own.change());
	}

	private static CompletableFuture<Result> mapFailure(CompletableFuture<Result> result) {
		return result.exceptionally((failure) -> new Result.Unavailable(false));
	}

	private enum AttemptOutcome {

		APPLIED, REFUSED, NOT_APPLIED, IN_DOUBT

	}

	/** The result of a change. */
	public sealed interface Result {

		/**
		 * The change took effect.
		 *
		 * @param revision the revision that holds it
		 */
		record Accepted(long revision) implements Result {
		}

		/**
		 * Another change took effect first; nothing was changed.
		 *
		 * @param revision the newest revision in the service
		 * @param author the author of that revision
		 * @param note the note of that revision
		 */
		record Conflict(long revision, String author, String note) implements Result {

			static Result with(Head head) {
				return new Conflict(head.revision(), head.author(), head.note());
			}

		}

		/**
		 * The tables hold mistakes; nothing was changed.
		 *
		 * @param mistakes the mistakes, one or more
		 */
		record Invalid(List<Mistake> mistakes) implements Result {

			/**
			 * Creates the result.
			 * @param mistakes the mistakes
			 */
			public Invalid {
				mistakes = List.copyOf(mistakes);
			}

		}

		/**
		 * The key-value service gave no answer.
		 *
		 * @param maybeApplied whether the change may have taken effect; {@code false}
		 * only if it certainly did not
		 */
		record Unavailable(boolean maybeApplied) implements Result {
		}

	}

}
