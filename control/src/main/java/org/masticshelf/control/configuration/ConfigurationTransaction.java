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
 * The step from one stored configuration to another.
 * <p>
 * Invariant: pages are stored under their digests and never change, so a reader gets a
 * page of the revision that it asked for or none. What is too large for one transaction
 * is stored beforehand, where no head names it yet; the last transaction compares that it
 * is still there. Immutable.
 */
final class ConfigurationTransaction {

	/** What the pages of one transaction may have together, in bytes. */
	static final int MAXIMUM_BYTES = 700_000;

	/** How many pages one transaction may write, and how many it may delete. */
	static final int MAXIMUM_PAGES = 32;

	private final long headModifyRevision;

	private final Head head;

	private final Pages pages;

	private final List<Page> fresh;

	private final List<String> obsolete;

	private ConfigurationTransaction(Pages before, long headModifyRevision, Head head, Pages pages) {
		this.headModifyRevision = headModifyRevision;
		this.head = head;
		this.pages = pages;
		Set<String> earlier = digestsOf(before);
		Set<String> later = digestsOf(pages);
		Set<String> seen = new TreeSet<>(earlier);
		this.fresh = pages.byName().values().stream().filter((page) -> seen.add(page.digest())).toList();
		this.obsolete = earlier.stream().filter((digest) -> !later.contains(digest)).limit(MAXIMUM_PAGES).toList();
	}

	/**
	 * Begins to describe a step.
	 * @param before the pages that the service holds
	 * @param headModifyRevision when the head was written that the step starts from
	 * @return the start of the step
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
	 * Stores what is too large for the last transaction.
	 * @param store the key-value service
	 * @return the last transaction
	 */
	CompletableFuture<KeyValueStore.Transaction> stage(KeyValueStore store) {
		List<Condition> conditions = new ArrayList<>();
		conditions.add(new Condition.ModifiedAt(ConfigurationKeys.HEAD, this.headModifyRevision));
		List<Operation> operations = new ArrayList<>();
		long bytes = 0;
		CompletableFuture<Void> staged = CompletableFuture.completedFuture(null);
		for (Page page : this.fresh) {
			bytes += page.bytes();
			if (bytes <= MAXIMUM_BYTES && operations.size() < MAXIMUM_PAGES) {
				operations.add(put(page));
			}
			else {
				staged = staged.thenCompose((before) -> stage(store, page))
					.thenAccept((condition) -> conditions.add(condition));
			}
		}
		this.obsolete.forEach((digest) -> operations.add(new Operation.Delete(ConfigurationKeys.pageKey(digest))));
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
	 * Where a step starts.
	 *
	 * @param before the pages that the service holds
	 * @param headModifyRevision when the head was written
	 */
	record Start(Pages before, long headModifyRevision) {

		/**
		 * Completes the description of a step.
		 * @param head the new head
		 * @param pages the new pages
		 * @return the step
		 */
		ConfigurationTransaction to(Head head, Pages pages) {
			return new ConfigurationTransaction(this.before, this.headModifyRevision, head, pages);
		}

	}

}
