package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Page;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.KeyValueStore.Condition;
import org.masticshelf.kernel.port.KeyValueStore.Operation;

/**
 * The transition from one stored configuration to another.
 * <p>
 * Invariant: pages are stored under their digests and never change, so a reader gets a
 * page of the requested revision or none. Pages that do not fit into one transaction are
 * stored beforehand, when no head refers to them yet; the final transaction is
 * conditional on their still being there. Immutable.
 */
final class ConfigurationTransaction {

	/** The maximum total size of the pages in one transaction. */
	static final int MAXIMUM_TOTAL_PAGE_BYTES = 700_000;

	/** The maximum number of pages that one transaction writes, and that it deletes. */
	static final int MAXIMUM_PAGES = 32;

	private final long headModifyRevision;

	private final Head head;

	private final Pages pages;

	private final List<Page> newPages;

	private final List<String> obsoleteDigests;

	private ConfigurationTransaction(Pages before, long headModifyRevision, Head head, Pages pages) {
		this.headModifyRevision = headModifyRevision;
		this.head = head;
		this.pages = pages;
		Set<String> earlier = digestsOf(before);
		Set<String> later = digestsOf(pages);
		Set<String> seen = new TreeSet<>(earlier);
		this.newPages = pages.byName().values().stream().filter((page) -> seen.add(page.digest())).toList();
		this.obsoleteDigests = earlier.stream()
			.filter((digest) -> !later.contains(digest))
			.limit(MAXIMUM_PAGES)
			.toList();
	}

	/**
	 * Starts the description of a transition.
	 * @param before the pages that the service holds
	 * @param headModifyRevision when the head was written that the transition starts from
	 * @return the start of the transition
	 */
	static Start from(Pages before, long headModifyRevision) {
		return new Start(before, headModifyRevision);
	}

	private static Set<String> digestsOf(Pages pages) {
		Set<String> digests = new TreeSet<>();
		pages.byName().values().forEach((page) -> digests.add(page.digest()));
		return digests;
	}

	/**
	 * Stores the pages that do not fit into the final transaction.
	 * @param store the key-value service
	 * @return the final transaction
	 */
	CompletableFuture<KeyValueStore.Transaction> stage(KeyValueStore store) {
		List<Condition> conditions = new ArrayList<>();
		conditions.add(new Condition.ModifiedAt(ConfigurationKeys.HEAD, this.headModifyRevision));
		List<Operation> operations = new ArrayList<>();
		long bytes = 0;
		CompletableFuture<Void> staged = CompletableFuture.completedFuture(null);
		for (Page page : this.newPages) {
			bytes += page.sizeBytes();
			if (bytes <= MAXIMUM_TOTAL_PAGE_BYTES && operations.size() < MAXIMUM_PAGES) {
				operations.add(put(page));
			}
			else {
				staged = staged.thenCompose((before) -> stage(store, page))
					.thenAccept((condition) -> conditions.add(condition));
			}
		}
		this.obsoleteDigests
			.forEach((digest) -> operations.add(new Operation.Delete(ConfigurationKeys.pageKey(digest))));
		operations.add(new Operation.Put(ConfigurationKeys.MANIFEST, this.pages.toManifest().toText(), 0));
		operations.add(new Operation.Put(ConfigurationKeys.historyKey(this.head.revision()), this.head.toText(), 0));
		operations.add(new Operation.Put(ConfigurationKeys.HEAD, this.head.toText(), 0));
		return staged.thenApply((done) -> new KeyValueStore.Transaction(conditions, operations));
	}

	private static Operation put(Page page) {
		return new Operation.Put(ConfigurationKeys.pageKey(page.digest()), page.text(), 0);
	}

	private static CompletableFuture<Condition> stage(KeyValueStore store, Page page) {
		String key = ConfigurationKeys.pageKey(page.digest());
		KeyValueStore.Transaction create = new KeyValueStore.Transaction(List.of(new Condition.CreatedAt(key, 0)),
				List.of(put(page)));
		return store.transact(create).thenApply((outcome) -> {
			long created = outcome.applied() ? outcome.revision() : outcome.current().get(0).createRevision();
			return new Condition.CreatedAt(key, created);
		});
	}

	/**
	 * The start of a transition.
	 *
	 * @param before the pages that the service holds
	 * @param headModifyRevision when the head was written
	 */
	record Start(Pages before, long headModifyRevision) {

		/**
		 * Completes the description of a transition.
		 * @param head the new head
		 * @param pages the new pages
		 * @return the transition
		 */
		ConfigurationTransaction to(Head head, Pages pages) {
			return new ConfigurationTransaction(this.before, this.headModifyRevision, head, pages);
		}

	}

}
