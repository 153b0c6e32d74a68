package org.masticshelf.control.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.AdoptionDecision;
import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Manifest;
import org.masticshelf.kernel.configuration.Mistake;
import org.masticshelf.kernel.configuration.Page;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesValidator;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.freshness.FreshnessDecision;
import org.masticshelf.kernel.freshness.FreshnessFacts;
import org.masticshelf.kernel.freshness.PeerReport;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * The configuration in force at a daemon and when it was last confirmed.
 * <p>
 * Invariants: the revision never decreases; only complete and valid configurations are
 * adopted; a confirmation is never dated later than the sending of the request that led
 * to it. Safe for use by several threads; listeners are called without the lock held by
 * readers.
 */
final class ConfigurationState {

	/** The source name of heads and configurations from the key-value service. */
	static final String SERVICE_SOURCE = "service";

	private static final int REMEMBERED_MANIFESTS = 8;

	private static final int MAXIMUM_REPORTS = 256;

	private final MonotonicClock clock;

	private final String failureDomain;

	private final Set<String> failureDomains;

	private final Consumer<Event> log;

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, Manifest> manifests = new LinkedHashMap<>();

	private final Map<String, PeerAnswer> reports = new LinkedHashMap<>();

	private volatile Adopted adopted = Adopted.INITIAL;

	private volatile long highestSeen;

	private @Nullable Long confirmedAt;

	private @Nullable Long serviceReachedAt;

	private boolean vouched;

	private String loggedHead = "";

	private String loggedFreshness = "";

	/**
	 * Creates the state before any configuration is known.
	 * @param clock the clock
	 * @param failureDomain this daemon's failure domain
	 * @param failureDomains all failure domains
	 * @param log receives the events
	 */
	ConfigurationState(MonotonicClock clock, String failureDomain, Set<String> failureDomains, Consumer<Event> log) {
		this.clock = clock;
		this.failureDomain = failureDomain;
		this.failureDomains = failureDomains;
		this.log = log;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration
	 */
	Adopted adopted() {
		return this.adopted;
	}

	/**
	 * Returns the highest revision that was seen anywhere.
	 * @return the revision, adopted or not
	 */
	long highestSeen() {
		return this.highestSeen;
	}

	/**
	 * Adds a listener for newer configurations.
	 * @param listener the listener
	 */
	void addListener(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Decides what to do about a head and logs a decision that matters to operators, once
	 * for each head.
	 * @param head the head that was seen
	 * @param source where it was seen
	 * @return the decision
	 */
	AdoptionDecision observe(Head head, String source) {
		AdoptionDecision decision;
		boolean worthLogging;
		synchronized (this) {
			this.highestSeen = Math.max(this.highestSeen, head.revision());
			decision = AdoptionDecision.of(this.adopted.head(), head);
			String logged = decision.getClass().getSimpleName() + head.revision() + head.manifest();
			worthLogging = isWorthLogging(decision, source) && !logged.equals(this.loggedHead);
			this.loggedHead = worthLogging ? logged : this.loggedHead;
		}
		if (worthLogging) {
			this.log.accept(decision.toEvent().with("source", source));
		}
		return decision;
	}

	private static boolean isWorthLogging(AdoptionDecision decision, String source) {
		return switch (decision) {
			case AdoptionDecision.Confirm confirm -> false;
			case AdoptionDecision.KeepNewer keep -> source.equals(SERVICE_SOURCE);
			case AdoptionDecision.Fetch fetch -> true;
			case AdoptionDecision.Fork fork -> true;
		};
	}

	/**
	 * Puts a configuration in force if it is newer, complete and valid.
	 * @param head the head
	 * @param pages the pages
	 * @param source where it was fetched from
	 * @return whether it is in force now
	 */
	boolean adopt(Head head, Pages pages, String source) {
		Configuration configuration;
		try {
			configuration = validated(head, pages);
		}
		catch (RuntimeException ex) {
			this.log.accept(Event.named("configuration.rejected")
				.with("revision", head.revision())
				.with("source", source)
				.with("reason", ex.getMessage()));
			return false;
		}
		synchronized (this) {
			if (head.revision() <= this.adopted.head().revision()) {
				return false;
			}
			remember(this.adopted.manifest());
			this.adopted = Adopted.of(head, pages, configuration);
			this.highestSeen = Math.max(this.highestSeen, head.revision());
			// called under the lock so that listeners receive revisions in order
			this.listeners.forEach((listener) -> listener.accept(configuration));
		}
		this.log.accept(Event.named("configuration.adopted")
			.with("revision", head.revision())
			.with("author", head.author())
			.with("source", source));
		return true;
	}

	private static Configuration validated(Head head, Pages pages) {
		if (!pages.toManifest().digest().equals(head.manifest())) {
			throw new IllegalArgumentException("the pages do not match the head");
		}
		Tables tables = pages.toTables();
		List<Mistake> mistakes = TablesValidator.findMistakes(tables);
		if (!mistakes.isEmpty()) {
			throw new IllegalArgumentException(mistakes.size() + " mistakes, the first: " + mistakes.get(0));
		}
		return new Configuration(head.revision(), tables);
	}

	private void remember(Manifest manifest) {
		this.manifests.put(manifest.digest(), manifest);
		if (this.manifests.size() > REMEMBERED_MANIFESTS) {
			this.manifests.remove(this.manifests.keySet().iterator().next());
		}
	}

	/**
	 * Returns the manifest of an earlier revision that is still remembered.
	 * @param digest the digest of the manifest
	 * @return the manifest or {@code null}
	 */
	synchronized @Nullable Manifest rememberedManifest(String digest) {
		return this.manifests.get(digest);
	}

	/**
	 * Records that the service or a peer confirmed a head.
	 * @param revision the confirmed revision
	 * @param manifest the digest of its manifest
	 * @param at the clock reading, in nanoseconds, at which it was certainly the head
	 */
	synchronized void confirm(long revision, String manifest, long at) {
		Head own = this.adopted.head();
		boolean same = own.revision() == revision && own.manifest().equals(manifest);
		if (same && (this.confirmedAt == null || at - this.confirmedAt > 0)) {
			this.confirmedAt = at;
			this.vouched = true;
		}
	}

	/**
	 * Records that the service answered.
	 * @param sentAt when the request was sent, in nanoseconds
	 */
	synchronized void recordServiceAnswer(long sentAt) {
		this.serviceReachedAt = sentAt;
	}

	/**
	 * Records the answer of a peer.
	 * @param address the address of the peer
	 * @param answer the answer
	 * @param sentAt when the request was sent, in nanoseconds
	 */
	synchronized void recordPeerAnswer(String address, PeerMessages.HeadAnswer answer, long sentAt) {
		this.reports.remove(address);
		this.reports.put(address, new PeerAnswer(answer, sentAt));
		if (this.reports.size() > MAXIMUM_REPORTS) {
			this.reports.remove(this.reports.keySet().iterator().next());
		}
	}

	/**
	 * Returns the answer to peers that ask for the head of this daemon.
	 * @return the answer
	 */
	synchronized PeerMessages.HeadAnswer toHeadAnswer() {
		Head head = this.adopted.head();
		return new PeerMessages.HeadAnswer(head.revision(), head.manifest(), ageMilliseconds(this.confirmedAt),
				reachesService(), this.vouched, this.failureDomain);
	}

	/**
	 * Returns how long ago the revision in force was certainly the head.
	 * @return the age in milliseconds, {@link FreshnessFacts#NEVER} if it never was
	 */
	synchronized long confirmedMillisecondsAgo() {
		return ageMilliseconds(this.confirmedAt);
	}

	/**
	 * Returns how long ago the service answered.
	 * @return the age in milliseconds, {@link FreshnessFacts#NEVER} if it never did
	 */
	synchronized long serviceReachedMillisecondsAgo() {
		return ageMilliseconds(this.serviceReachedAt);
	}

	private boolean reachesService() {
		return ageMilliseconds(this.serviceReachedAt) < FreshnessDecision.CONFIRMATION_LIFETIME_MILLISECONDS;
	}

	private long ageMilliseconds(@Nullable Long instant) {
		if (instant == null) {
			return FreshnessFacts.NEVER;
		}
		long age = Math.max(0, this.clock.nanoseconds() - instant);
		return TimeUnit.NANOSECONDS.toMillis(age + TimeUnit.MILLISECONDS.toNanos(1) - 1);
	}

	/**
	 * Decides how far the knowledge about withdrawn keys can be trusted.
	 * @return the decision
	 */
	FreshnessDecision freshness() {
		FreshnessDecision decision;
		boolean worthLogging;
		synchronized (this) {
			List<PeerReport> answers = new ArrayList<>();
			this.reports.values().forEach((peerAnswer) -> answers.add(toReport(peerAnswer)));
			FreshnessFacts facts = new FreshnessFacts(ageMilliseconds(this.confirmedAt), this.vouched,
					this.adopted.head().revision(), this.failureDomain, this.failureDomains, answers);
			decision = FreshnessDecision.of(facts);
			this.vouched |= decision instanceof FreshnessDecision.PresumedOutage;
			String kind = decision.getClass().getSimpleName();
			worthLogging = !kind.equals(this.loggedFreshness);
			this.loggedFreshness = kind;
		}
		if (worthLogging) {
			this.log.accept(decision.toEvent());
		}
		return decision;
	}

	private PeerReport toReport(PeerAnswer peerAnswer) {
		PeerMessages.HeadAnswer answer = peerAnswer.answer();
		return new PeerReport(answer.failureDomain(), ageMilliseconds(peerAnswer.sentAt()), answer.reachesService(),
				answer.vouched(), answer.revision());
	}

	/**
	 * The answer of a peer and when it was asked.
	 *
	 * @param answer the answer
	 * @param sentAt when the request was sent, in nanoseconds
	 */
	private record PeerAnswer(PeerMessages.HeadAnswer answer, long sentAt) {
	}

	/**
	 * A configuration in force.
	 *
	 * @param head the head
	 * @param manifest the manifest
	 * @param pages the pages
	 * @param byDigest the pages by digest
	 * @param configuration the configuration
	 */
	record Adopted(Head head, Manifest manifest, Pages pages, Map<String, Page> byDigest, Configuration configuration) {

		/** Before any configuration is known. */
		static final Adopted INITIAL = of(Head.INITIAL, Pages.collect(List.of()), Configuration.INITIAL);

		/**
		 * Creates the configuration in force.
		 * @param head the head
		 * @param pages the pages
		 * @param configuration the configuration
		 * @return the configuration in force
		 */
		static Adopted of(Head head, Pages pages, Configuration configuration) {
			Map<String, Page> byDigest = new HashMap<>();
			pages.byName().values().forEach((page) -> byDigest.put(page.digest(), page));
			return new Adopted(head, pages.toManifest(), pages, byDigest, configuration);
		}

		/**
		 * Returns the manifest and pages that a reader need not read again.
		 * @return the known manifest and pages
		 */
		ConfigurationReader.Known toKnown() {
			return new ConfigurationReader.Known(this.manifest, this.byDigest::get);
		}

	}

}
