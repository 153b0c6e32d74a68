package org.masticshelf.control.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationState.Adopted;
import org.masticshelf.control.configuration.PeerMessages.ChangesAnswer;
import org.masticshelf.control.configuration.PeerMessages.ChangesQuestion;
import org.masticshelf.control.configuration.PeerMessages.HeadAnswer;
import org.masticshelf.control.configuration.PeerMessages.NamedPages;
import org.masticshelf.kernel.configuration.AdoptionDecision;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Manifest;
import org.masticshelf.kernel.configuration.Page;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.port.PeerChannel;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Fetches configurations from peers and answers their requests.
 * <p>
 * A daemon that finds a peer with a newer revision asks for the digests that differ and
 * then only for the pages that it lacks. At most one such transfer runs at a time. Safe
 * for use by several threads.
 */
final class ConfigurationPeers {

	private static final Duration HEAD_TIMEOUT = Duration.ofMillis(1_000);

	private static final Duration PAGES_TIMEOUT = Duration.ofMillis(3_000);

	private static final int MAXIMUM_ANSWER_CHARACTERS = 256 * 1024;

	private final PeerChannel channel;

	private final MonotonicClock clock;

	private final ConfigurationState state;

	private final AtomicBoolean fetching = new AtomicBoolean();

	/**
	 * Creates the exchange and starts to answer peers.
	 * @param channel the channel to the peers
	 * @param clock the clock
	 * @param state the configuration in force
	 */
	ConfigurationPeers(PeerChannel channel, MonotonicClock clock, ConfigurationState state) {
		this.channel = channel;
		this.clock = clock;
		this.state = state;
		channel.registerHandler(PeerMessages.HEAD, (question) -> reply(state.toHeadAnswer()));
		channel.registerHandler(PeerMessages.CHANGES,
				(question) -> reply(changesSince(PeerMessages.fromJson(question, ChangesQuestion.class))));
		channel.registerHandler(PeerMessages.PAGES,
				(question) -> reply(pages(PeerMessages.fromJson(question, NamedPages.class))));
	}

	private static CompletableFuture<JsonNode> reply(Object message) {
		return CompletableFuture.completedFuture(PeerMessages.toJson(message));
	}

	private ChangesAnswer changesSince(ChangesQuestion question) {
		Adopted own = this.state.adopted();
		Manifest known = this.state.rememberedManifest(question.manifest());
		return (known != null) ? new ChangesAnswer(own.head(), own.manifest().differenceFrom(known), null)
				: new ChangesAnswer(own.head(), null, own.manifest());
	}

	private NamedPages pages(NamedPages question) {
		Adopted own = this.state.adopted();
		SortedMap<String, String> texts = new TreeMap<>();
		int characters = 0;
		for (Map.Entry<String, String> asked : question.pages().entrySet()) {
			Page page = own.byDigest().get(asked.getValue());
			if (page != null && (texts.isEmpty() || characters + page.text().length() < MAXIMUM_ANSWER_CHARACTERS)) {
				texts.put(asked.getKey(), page.text());
				characters += page.text().length();
			}
		}
		return new NamedPages(texts);
	}

	/**
	 * Asks a peer for its head and fetches its configuration if it is newer.
	 * @param address the address of the peer
	 * @return completes when done, even if the peer gave no answer
	 */
	CompletableFuture<Void> pull(String address) {
		long sentAt = this.clock.nanoseconds();
		return this.channel.call(address, PeerMessages.HEAD, PeerMessages.toJson(Map.of()), HEAD_TIMEOUT)
			.thenApply((answer) -> PeerMessages.fromJson(answer, HeadAnswer.class))
			.thenCompose((answer) -> handleHead(address, answer, sentAt))
			.exceptionally((failure) -> null);
	}

	private CompletableFuture<Void> handleHead(String address, HeadAnswer answer, long sentAt) {
		this.state.recordPeerAnswer(address, answer, sentAt);
		Head seen = new Head(answer.revision(), "unknown", "unknown", "", answer.manifest(), null);
		AdoptionDecision decision = this.state.observe(seen, address);
		CompletableFuture<Void> fetched = CompletableFuture.completedFuture(null);
		if (decision instanceof AdoptionDecision.Fetch && this.fetching.compareAndSet(false, true)) {
			fetched = fetch(address).whenComplete((done, failure) -> this.fetching.set(false));
		}
		return fetched.thenRun(() -> confirm(answer, sentAt));
	}

	private void confirm(HeadAnswer answer, long sentAt) {
		if (answer.ageMilliseconds() < TimeUnit.DAYS.toMillis(1)) {
			long at = sentAt - TimeUnit.MILLISECONDS.toNanos(answer.ageMilliseconds());
			this.state.confirm(answer.revision(), answer.manifest(), at);
		}
	}

	private CompletableFuture<Void> fetch(String address) {
		Adopted own = this.state.adopted();
		JsonNode question = PeerMessages.toJson(new ChangesQuestion(own.manifest().digest()));
		return this.channel.call(address, PeerMessages.CHANGES, question, PAGES_TIMEOUT)
			.thenApply((answer) -> PeerMessages.fromJson(answer, ChangesAnswer.class))
			.thenCompose((answer) -> fetchPages(address, answer, own));
	}

	private CompletableFuture<Void> fetchPages(String address, ChangesAnswer answer, Adopted own) {
		Manifest manifest = answer.toManifest(own.manifest());
		if (!manifest.digest().equals(answer.head().manifest())) {
			return CompletableFuture.completedFuture(null);
		}
		SortedMap<String, Page> found = new TreeMap<>();
		SortedMap<String, String> missing = new TreeMap<>();
		manifest.pages().forEach((name, digest) -> {
			Page page = own.byDigest().get(digest);
			if (page != null) {
				found.put(name, page);
			}
			else {
				missing.put(name, digest);
			}
		});
		return fetchMissing(address, missing, found).thenAccept((whole) -> {
			if (whole != null) {
				this.state.adopt(answer.head(), whole, address);
			}
		});
	}

	private CompletableFuture<@Nullable Pages> fetchMissing(String address, SortedMap<String, String> missing,
			SortedMap<String, Page> found) {
		if (missing.isEmpty()) {
			return CompletableFuture.completedFuture(Pages.collect(List.copyOf(found.values())));
		}
		return this.channel
			.call(address, PeerMessages.PAGES, PeerMessages.toJson(new NamedPages(missing)), PAGES_TIMEOUT)
			.thenApply((answer) -> PeerMessages.fromJson(answer, NamedPages.class))
			.thenCompose((answer) -> {
				boolean progress = takePages(answer, missing, found);
				return progress ? fetchMissing(address, missing, found) : CompletableFuture.completedFuture(null);
			});
	}

	private static boolean takePages(NamedPages answer, SortedMap<String, String> missing,
			SortedMap<String, Page> found) {
		boolean progress = false;
		for (Map.Entry<String, String> named : answer.pages().entrySet()) {
			String digest = missing.get(named.getKey());
			Page page = (digest != null) ? ConfigurationReader.parsePage(named.getKey(), digest, named.getValue())
					: null;
			if (page != null) {
				found.put(named.getKey(), page);
				missing.remove(named.getKey());
				progress = true;
			}
		}
		return progress;
	}

}
