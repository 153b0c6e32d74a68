package org.masticshelf.serving.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.quarantine.CrashAttribution;
import org.masticshelf.kernel.quarantine.CrashVerdict;
import org.masticshelf.kernel.quarantine.EndpointCrash;
import org.masticshelf.kernel.quarantine.RequestFingerprint;
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * What this daemon and its peers know about requests that crash endpoints: by the
 * segments of their prompts, and each as a whole ("fingerprints").
 * <p>
 * Every daemon passes on all crashes and answers that it knows, so that one that starts
 * or was partitioned off learns them from any peer.
 * <p>
 * Invariants: a crash is forgotten after {@link #RETENTION_MILLISECONDS}; crashes,
 * fingerprints and answers are bounded in number, segments and whole requests each for
 * themselves. Thread-safe.
 */
public final class RequestQuarantine {

	/** How long a crash is taken into account. */
	public static final long RETENTION_MILLISECONDS = 300_000;

	private static final int MAXIMUM_CRASHES = 64;

	private static final int MAXIMUM_FINGERPRINTS_PER_CRASH = 256;

	private static final int MAXIMUM_ANSWERED_FINGERPRINTS = 4_096;

	/**
	 * How long all that is known of a crash is passed on, which is enough for all daemons
	 * to learn it. Later only fingerprints that are suspected are passed on.
	 */
	private static final long NEWS_MILLISECONDS = 5_000;

	private static final long JUDGEMENT_INTERVAL_MILLISECONDS = 1_000;

	/**
	 * How long crashes must speak against a fingerprint before its requests are refused,
	 * within which peers report answers that clear it.
	 */
	private static final long CONFIRMATION_MILLISECONDS = 100;

	/** By how much a time that is passed on by peers may be too late. */
	private static final long DRIFT_MILLISECONDS = 1_000;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Runnable listener;

	private final Map<String, EndpointCrash> crashes = new LinkedHashMap<>();

	private final Map<String, Long> segmentAnswers = new AnswerTimes();

	private final Map<String, Long> requestAnswers = new AnswerTimes();

	/**
	 * Fingerprints whose answer a peer seems not to know, with the time of its message.
	 */
	private final Map<String, Long> contestedAnswers = new AnswerTimes();

	private final EvidenceSelection selection = new EvidenceSelection();

	private Map<String, CrashVerdict> verdicts = Map.of();

	private boolean judgementDue;

	private long judgedAt;

	private boolean changed;

	private long ownCrashes;

	private Revision revision = Revision.NONE;

	/**
	 * Creates an empty quarantine.
	 * @param clock the clock
	 * @param log receives the events
	 * @param listener called when there is news for peers
	 */
	public RequestQuarantine(MonotonicClock clock, Consumer<Event> log, Runnable listener) {
		this.clock = clock;
		this.log = log;
		this.listener = listener;
	}

	/**
	 * Examines a request.
	 * @param request the fingerprints of the request
	 * @return what speaks against it
	 */
	public Finding examine(RequestFingerprints request) {
		return hasEvidence() ? examine(request.all()) : Finding.Clear.INSTANCE;
	}

	/**
	 * Examines a request.
	 * @param fingerprints its segments, then the whole request
	 * @return what speaks against it
	 */
	public synchronized Finding examine(List<String> fingerprints) {
		if (this.crashes.isEmpty()) {
			return Finding.Clear.INSTANCE;
		}
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		Finding gravest = Finding.Clear.INSTANCE;
		for (String fingerprint : fingerprints) {
			switch (this.verdicts.get(fingerprint)) {
				case CrashVerdict.Implicated verdict when now - verdict.since() >= CONFIRMATION_MILLISECONDS -> {
					long until = verdict.decisive().at() + RETENTION_MILLISECONDS;
					return new Finding.Quarantined(fingerprint, verdict.crashes().size(), Math.max(1, until - now));
				}
				case CrashVerdict verdict -> gravest = new Finding.Suspected(fingerprint, verdict.crashes().size());
				case null -> {
				}
			}
		}
		return gravest;
	}

	/**
	 * Records that an endpoint broke off a request that it had just been given.
	 * @param endpoint the endpoint
	 * @param request the fingerprints of the request
	 */
	public void recordCrash(ServedEndpoint endpoint, RequestFingerprints request) {
		recordCrash(endpoint, request.all());
	}

	/**
	 * Records that an endpoint broke off a request that it had just been given.
	 * @param endpoint the endpoint
	 * @param fingerprints the segments of the request, then the whole request
	 */
	public synchronized void recordCrash(ServedEndpoint endpoint, List<String> fingerprints) {
		if (fingerprints.isEmpty()) {
			return;
		}
		long now = this.clock.milliseconds();
		Map<String, Integer> positions = new HashMap<>();
		for (int position = 0; position < fingerprints.size(); position++) {
			positions.put(fingerprints.get(position), position);
		}
		this.ownCrashes++;
		String run = endpoint.identifier() + "/" + endpoint.startedAt();
		if (add(new EndpointCrash(run, endpoint.address(), now, positions))) {
			this.judgementDue = true;
		}
	}

	/**
	 * Records that a request was answered without harm to its endpoint, which clears its
	 * fingerprints of earlier crashes. Without a crash only its segments are noted.
	 * @param request the fingerprints of the request
	 * @param begunAt when the answer began, monotonic milliseconds
	 */
	public void recordAnswer(RequestFingerprints request, long begunAt) {
		recordAnswer(hasEvidence() ? request.all() : request.segments(), begunAt);
	}

	synchronized void recordAnswer(List<String> fingerprints, long begunAt) {
		for (String fingerprint : fingerprints) {
			long before = answeredAt(fingerprint);
			if (begunAt > before) {
				answersOf(fingerprint).put(fingerprint, begunAt);
				noteAnswer(fingerprint, before, begunAt);
			}
		}
	}

	/**
	 * Adds what a peer knows.
	 * @param peer the incarnation of the peer
	 * @param evidence what it knows
	 */
	public synchronized void merge(String peer, PeerMessage.CrashEvidence evidence) {
		long now = this.clock.milliseconds();
		for (PeerMessage.Crash crash : evidence.crashes()) {
			long at = now - Math.max(0, crash.age());
			if (now - at < RETENTION_MILLISECONDS
					&& add(new EndpointCrash(crash.run(), crash.address(), at, crash.fingerprints()))) {
				this.judgementDue = true;
				this.log.accept(Event.named("quarantine.crash_learned")
					.with("peer", peer)
					.with("run", crash.run())
					.with("age_ms", crash.age())
					.with("fingerprints", crash.fingerprints().keySet()));
			}
			long knownAt = this.crashes.containsKey(crash.run()) ? this.crashes.get(crash.run()).at() : at;
			for (String fingerprint : crash.fingerprints().keySet()) {
				if (answeredAt(fingerprint) >= knownAt && now - knownAt >= NEWS_MILLISECONDS) {
					this.contestedAnswers.put(fingerprint, now);
				}
			}
		}
		for (Map.Entry<String, Long> answer : evidence.answered().entrySet()) {
			long at = now - Math.max(0, answer.getValue());
			// Passing a time on takes time itself and must not make an answer newer.
			long before = answeredAt(answer.getKey());
			if (before == CrashAttribution.NEVER || at - DRIFT_MILLISECONDS > before) {
				answersOf(answer.getKey()).put(answer.getKey(), at);
				noteAnswer(answer.getKey(), before, at);
			}
		}
	}

	/**
	 * Returns what peers are told.
	 * @return the crashes with fingerprints that have not been answered since, the
	 * gravest first, and the answers to fingerprints of recent crashes
	 */
	public synchronized PeerMessage.CrashEvidence evidence() {
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		List<EndpointCrash> open = new ArrayList<>();
		Map<String, Long> answered = new LinkedHashMap<>();
		Set<String> repeated = repeatedRequests();
		for (EndpointCrash crash : gravestFirst()) {
			boolean recent = now - crash.at() < NEWS_MILLISECONDS;
			Map<String, Integer> unanswered = new HashMap<>();
			crash.fingerprints().forEach((fingerprint, position) -> {
				long answeredAt = answeredAt(fingerprint);
				if (answeredAt < crash.at() && (recent || this.verdicts.containsKey(fingerprint))) {
					unanswered.put(fingerprint, position);
				}
				boolean concerns = !RequestFingerprint.isOfWholeRequest(fingerprint) || repeated.contains(fingerprint);
				boolean wanted = (recent && concerns) || this.contestedAnswers.containsKey(fingerprint);
				if (answeredAt != CrashAttribution.NEVER && wanted) {
					answered.put(fingerprint, now - answeredAt);
				}
			});
			if (!unanswered.isEmpty()) {
				open.add(new EndpointCrash(crash.run(), crash.address(), crash.at(), unanswered));
			}
		}
		return this.selection.select(open, answered, this.verdicts.keySet(), this::answeredAt, now);
	}

	// A request that is on a single crash needs no clearing, and most of them are.
	private Set<String> repeatedRequests() {
		Set<String> seen = new HashSet<>();
		Set<String> repeated = new HashSet<>();
		for (EndpointCrash crash : this.crashes.values()) {
			for (String fingerprint : crash.fingerprints().keySet()) {
				if (RequestFingerprint.isOfWholeRequest(fingerprint) && !seen.add(fingerprint)) {
					repeated.add(fingerprint);
				}
			}
		}
		return repeated;
	}

	/**
	 * Returns what a daemon has to know that starts with an empty memory.
	 * @return the crashes with fingerprints that have not been answered since, whether or
	 * not these are suspected yet, the gravest first, and when they were answered before
	 */
	public synchronized PeerMessage.CrashEvidence unexplainedEvidence() {
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		List<EndpointCrash> open = new ArrayList<>();
		Map<String, Long> answered = new LinkedHashMap<>();
		for (EndpointCrash crash : gravestFirst()) {
			Map<String, Integer> unanswered = new HashMap<>(crash.fingerprints());
			unanswered.keySet().removeIf((fingerprint) -> answeredAt(fingerprint) >= crash.at());
			if (!unanswered.isEmpty()) {
				open.add(new EndpointCrash(crash.run(), crash.address(), crash.at(), unanswered));
			}
			for (String fingerprint : unanswered.keySet()) {
				if (answeredAt(fingerprint) != CrashAttribution.NEVER) {
					answered.put(fingerprint, now - answeredAt(fingerprint));
				}
			}
		}
		return this.selection.select(open, answered, this.verdicts.keySet(), this::answeredAt, now);
	}

	/**
	 * Returns a count of what has been learnt, by which changes are noticed.
	 * @return the revision
	 */
	public synchronized Revision revision() {
		return this.revision;
	}

	/**
	 * Returns whether any crash is known.
	 * @return whether one is known
	 */
	public synchronized boolean hasEvidence() {
		return !this.crashes.isEmpty();
	}

	/**
	 * Returns whether there is anything to tell peers.
	 * @return whether there is
	 */
	public synchronized boolean hasReports() {
		long now = this.clock.milliseconds();
		return !this.verdicts.isEmpty() || !this.contestedAnswers.isEmpty()
				|| this.crashes.values().stream().anyMatch((crash) -> now - crash.at() < NEWS_MILLISECONDS);
	}

	/**
	 * Returns whether there is news for peers since the last call.
	 * @return whether crashes or answers were added
	 */
	public synchronized boolean takeChanged() {
		boolean result = this.changed;
		this.changed = false;
		return result;
	}

	/**
	 * Returns the number of fingerprints to which crashes are attributed.
	 * @return the number
	 */
	public synchronized int size() {
		judgeIfDue(this.clock.milliseconds());
		return (int) this.verdicts.values().stream().filter(CrashVerdict.Implicated.class::isInstance).count();
	}

	/**
	 * Returns how many requests broke with their endpoint at this daemon.
	 * @return the number since the start
	 */
	public synchronized long brokenRequests() {
		return this.ownCrashes;
	}

	private List<EndpointCrash> gravestFirst() {
		Set<EndpointCrash> grave = new HashSet<>();
		for (EndpointCrash crash : this.crashes.values()) {
			if (crash.fingerprints().keySet().stream().anyMatch(this.verdicts::containsKey)) {
				grave.add(crash);
			}
		}
		Comparator<EndpointCrash> graveFirst = Comparator.comparing((crash) -> !grave.contains(crash));
		return this.crashes.values()
			.stream()
			.sorted(graveFirst.thenComparing(Comparator.comparingLong(EndpointCrash::at).reversed()))
			.toList();
	}

	private boolean add(EndpointCrash crash) {
		EndpointCrash known = this.crashes.get(crash.run());
		EndpointCrash merged = (known != null) ? known.merge(crash) : crash;
		merged = new EndpointCrash(merged.run(), merged.address(), merged.at(),
				EvidenceSelection.bound(merged.fingerprints(), MAXIMUM_FINGERPRINTS_PER_CRASH, this::answeredAt));
		if (merged.equals(known)) {
			return false;
		}
		this.crashes.put(crash.run(), merged);
		if (this.crashes.size() > MAXIMUM_CRASHES) {
			this.crashes.remove(gravestFirst().getLast().run());
		}
		boolean isNews = known == null || !merged.fingerprints().equals(known.fingerprints());
		if (isNews) {
			this.revision = this.revision.afterCrash();
			announce();
		}
		return isNews;
	}

	private void announce() {
		this.changed = true;
		this.listener.run();
	}

	private void noteAnswer(String fingerprint, long before, long answeredAt) {
		boolean clears = this.crashes.values()
			.stream()
			.anyMatch((crash) -> before < crash.at() && crash.at() <= answeredAt
					&& crash.fingerprints().containsKey(fingerprint));
		if (clears) {
			this.judgementDue = true;
			this.revision = this.revision.afterClearance();
		}
		// Answers to other fingerprints reach the peers with the regular messages.
		if (clears && this.verdicts.containsKey(fingerprint)) {
			announce();
		}
	}

	private long answeredAt(String fingerprint) {
		return answersOf(fingerprint).getOrDefault(fingerprint, CrashAttribution.NEVER);
	}

	// Answers to whole requests, of which none is like another, would push out segments.
	private Map<String, Long> answersOf(String fingerprint) {
		return RequestFingerprint.isOfWholeRequest(fingerprint) ? this.requestAnswers : this.segmentAnswers;
	}

	private boolean isExplained(EndpointCrash crash) {
		return crash.fingerprints().keySet().stream().allMatch((fingerprint) -> answeredAt(fingerprint) >= crash.at());
	}

	private void forgetOld(long now) {
		this.crashes.values()
			.removeIf((crash) -> now - crash.at() >= (isExplained(crash) ? NEWS_MILLISECONDS : RETENTION_MILLISECONDS));
		this.contestedAnswers.values().removeIf((at) -> now - at >= NEWS_MILLISECONDS);
	}

	private void judgeIfDue(long now) {
		if (this.judgementDue || now - this.judgedAt >= JUDGEMENT_INTERVAL_MILLISECONDS) {
			judge(now);
		}
	}

	private void judge(long now) {
		this.judgementDue = false;
		this.judgedAt = now;
		forgetOld(now);
		Map<String, CrashVerdict> before = this.verdicts;
		this.verdicts = this.crashes.isEmpty() ? Map.of()
				: CrashAttribution.judge(this.crashes.values(), this::answeredAt);
		this.verdicts.forEach((fingerprint, verdict) -> {
			CrashVerdict known = before.get(fingerprint);
			if (known == null || known.getClass() != verdict.getClass()) {
				logVerdict(fingerprint, verdict, now);
			}
		});
		before.forEach((fingerprint, verdict) -> {
			if (!this.verdicts.containsKey(fingerprint)) {
				this.log.accept(Event.named("quarantine.cleared")
					.with("fingerprint", fingerprint)
					.with("was_implicated", verdict instanceof CrashVerdict.Implicated)
					.with("answered_before_ms", sinceAnswer(fingerprint, now)));
			}
		});
	}

	private void logVerdict(String fingerprint, CrashVerdict verdict, long now) {
		List<String> evidence = verdict.crashes()
			.stream()
			.map((crash) -> crash.run() + " " + (now - crash.at()) + " ms ago")
			.toList();
		this.log.accept(Event
			.named((verdict instanceof CrashVerdict.Implicated) ? "quarantine.implicated" : "quarantine.suspected")
			.with("fingerprint", fingerprint)
			.with("crashes", verdict.crashes().size())
			.with("answered_before_ms", sinceAnswer(fingerprint, now))
			.with("evidence", evidence));
	}

	private long sinceAnswer(String fingerprint, long now) {
		long answeredAt = answeredAt(fingerprint);
		return (answeredAt != CrashAttribution.NEVER) ? now - answeredAt : -1;
	}

	/**
	 * How much has been learnt since the start. Immutable.
	 *
	 * @param crashes counts crashes and further fingerprints of known ones
	 * @param clearances counts answers that clear a fingerprint of a crash
	 */
	public record Revision(long crashes, long clearances) {

		/** The revision of an empty quarantine. */
		public static final Revision NONE = new Revision(0, 0);

		private Revision afterCrash() {
			return new Revision(this.crashes + 1, this.clearances);
		}

		private Revision afterClearance() {
			return new Revision(this.crashes, this.clearances + 1);
		}

	}

	/** What is known about a request. Implementations are immutable. */
	public sealed interface Finding {

		/** The request may be sent. */
		enum Clear implements Finding {

			/** The only instance. */
			INSTANCE

		}

		/**
		 * The request may be sent once, but not repeated after it broke with an endpoint.
		 *
		 * @param fingerprint what is suspected
		 * @param crashes the number of crashes
		 */
		record Suspected(String fingerprint, int crashes) implements Finding {
		}

		/**
		 * The request must not be sent.
		 *
		 * @param fingerprint that to which crashes are attributed
		 * @param crashes the number of crashes
		 * @param remainingMilliseconds how long the quarantine lasts unless endpoints
		 * crash again
		 */
		record Quarantined(String fingerprint, int crashes, long remainingMilliseconds) implements Finding {
		}

	}

	/** Times by fingerprint, of which the least recently used are forgotten. */
	private static final class AnswerTimes extends LinkedHashMap<String, Long> {

		private static final long serialVersionUID = 1L;

		private AnswerTimes() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAXIMUM_ANSWERED_FINGERPRINTS;
		}

	}

}
