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
import org.masticshelf.kernel.serving.ServedEndpoint;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.peer.PeerMessage;

/**
 * What this daemon and its peers know about segments of prompts that crash endpoints.
 * <p>
 * Every daemon passes on all crashes and answers that it knows, so that one that starts
 * or was partitioned off learns them from any peer.
 * <p>
 * Invariants: a crash is forgotten after {@link #RETENTION_MILLISECONDS}; crashes,
 * segments and answers are bounded in number. Thread-safe.
 */
public final class RequestQuarantine {

	/** How long a crash is taken into account. */
	public static final long RETENTION_MILLISECONDS = 300_000;

	private static final int MAXIMUM_CRASHES = 64;

	private static final int MAXIMUM_SEGMENTS_PER_CRASH = 256;

	private static final int MAXIMUM_ANSWERED_SEGMENTS = 4_096;

	private static final int MAXIMUM_REPORTED_CRASHES = 24;

	private static final int MAXIMUM_REPORTED_SEGMENTS_PER_CRASH = 32;

	private static final int MAXIMUM_REPORTED_ANSWERS = 64;

	/**
	 * How long all that is known of a crash is passed on, which is enough for all daemons
	 * to learn it. Later only segments that are suspected are passed on.
	 */
	private static final long NEWS_MILLISECONDS = 5_000;

	private static final long JUDGEMENT_INTERVAL_MILLISECONDS = 1_000;

	/**
	 * How long crashes must speak against a segment before its requests are refused,
	 * within which peers report answers that clear it.
	 */
	private static final long CONFIRMATION_MILLISECONDS = 100;

	/** By how much a time that is passed on by peers may be too late. */
	private static final long DRIFT_MILLISECONDS = 1_000;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final Runnable listener;

	private final Map<String, EndpointCrash> crashes = new LinkedHashMap<>();

	private final Map<String, Long> answers = new AnswerTimes();

	/** Segments whose answer a peer seems not to know, with the time of its message. */
	private final Map<String, Long> contestedAnswers = new AnswerTimes();

	private Map<String, CrashVerdict> verdicts = Map.of();

	private boolean judgementDue;

	private long judgedAt;

	private boolean changed;

	private long ownCrashes;

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
	 * @param segments the shared segments of its prompt
	 * @return what speaks against it
	 */
	public synchronized Finding examine(List<String> segments) {
		if (this.crashes.isEmpty()) {
			return Finding.Clear.INSTANCE;
		}
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		Finding gravest = Finding.Clear.INSTANCE;
		for (String segment : segments) {
			switch (this.verdicts.get(segment)) {
				case CrashVerdict.Implicated verdict when now - verdict.since() >= CONFIRMATION_MILLISECONDS -> {
					long until = verdict.decisive().at() + RETENTION_MILLISECONDS;
					return new Finding.Quarantined(segment, verdict.crashes().size(), Math.max(1, until - now));
				}
				case CrashVerdict verdict -> gravest = new Finding.Suspected(segment, verdict.crashes().size());
				case null -> {
				}
			}
		}
		return gravest;
	}

	/**
	 * Records that an endpoint broke off a request that it had just been given.
	 * @param endpoint the endpoint
	 * @param segments the shared segments of the prompt
	 */
	public synchronized void recordCrash(ServedEndpoint endpoint, List<String> segments) {
		if (segments.isEmpty()) {
			return;
		}
		long now = this.clock.milliseconds();
		Map<String, Integer> positions = new HashMap<>();
		for (int position = 0; position < segments.size(); position++) {
			positions.put(segments.get(position), position);
		}
		this.ownCrashes++;
		String run = endpoint.identifier() + "/" + endpoint.startedAt();
		if (add(new EndpointCrash(run, endpoint.address(), now, positions))) {
			this.judgementDue = true;
		}
	}

	/**
	 * Records that a request was answered without harm to its endpoint, which clears its
	 * segments of earlier crashes.
	 * @param segments the shared segments of the prompt
	 * @param begunAt when the answer began, monotonic milliseconds
	 */
	public synchronized void recordAnswer(List<String> segments, long begunAt) {
		for (String segment : segments) {
			long before = answeredAt(segment);
			if (begunAt > before) {
				this.answers.put(segment, begunAt);
				noteAnswer(segment, before, begunAt);
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
					&& add(new EndpointCrash(crash.run(), crash.address(), at, crash.segments()))) {
				this.judgementDue = true;
				this.log.accept(Event.named("quarantine.crash_learned")
					.with("peer", peer)
					.with("run", crash.run())
					.with("age_ms", crash.age())
					.with("segments", crash.segments().keySet()));
			}
			long knownAt = this.crashes.containsKey(crash.run()) ? this.crashes.get(crash.run()).at() : at;
			for (String segment : crash.segments().keySet()) {
				if (answeredAt(segment) >= knownAt && now - knownAt >= NEWS_MILLISECONDS) {
					this.contestedAnswers.put(segment, now);
				}
			}
		}
		for (Map.Entry<String, Long> answer : evidence.answered().entrySet()) {
			long at = now - Math.max(0, answer.getValue());
			// Passing a time on takes time itself and must not make an answer newer.
			long before = answeredAt(answer.getKey());
			if (before == CrashAttribution.NEVER || at - DRIFT_MILLISECONDS > before) {
				this.answers.put(answer.getKey(), at);
				noteAnswer(answer.getKey(), before, at);
			}
		}
	}

	/**
	 * Returns what peers are told.
	 * @return the crashes with segments that have not been answered since, the gravest
	 * first, and the answers to segments of recent crashes
	 */
	public synchronized PeerMessage.CrashEvidence evidence() {
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		Map<String, Long> answered = new HashMap<>();
		List<PeerMessage.Crash> reported = new ArrayList<>();
		for (EndpointCrash crash : gravestFirst()) {
			boolean recent = now - crash.at() < NEWS_MILLISECONDS;
			Map<String, Integer> open = new HashMap<>();
			crash.segments().forEach((segment, position) -> {
				long answeredAt = answeredAt(segment);
				if (answeredAt < crash.at() && (recent || this.verdicts.containsKey(segment))) {
					open.put(segment, position);
				}
				boolean wanted = recent || this.contestedAnswers.containsKey(segment);
				if (answeredAt != CrashAttribution.NEVER && wanted && answered.size() < MAXIMUM_REPORTED_ANSWERS) {
					answered.put(segment, now - answeredAt);
				}
			});
			if (!open.isEmpty() && reported.size() < MAXIMUM_REPORTED_CRASHES) {
				reported.add(new PeerMessage.Crash(crash.run(), crash.address(), now - crash.at(),
						longestUnanswered(open, MAXIMUM_REPORTED_SEGMENTS_PER_CRASH)));
			}
		}
		return new PeerMessage.CrashEvidence(reported, answered);
	}

	/**
	 * Returns the crashes that implicate segments, with these segments only.
	 * @return the evidence, empty if no segment is implicated
	 */
	public synchronized PeerMessage.CrashEvidence implicatingEvidence() {
		long now = this.clock.milliseconds();
		judgeIfDue(now);
		List<PeerMessage.Crash> implicating = new ArrayList<>();
		for (EndpointCrash crash : gravestFirst()) {
			Map<String, Integer> segments = new HashMap<>(crash.segments());
			segments.keySet()
				.removeIf((segment) -> !(this.verdicts.get(segment) instanceof CrashVerdict.Implicated)
						|| answeredAt(segment) >= crash.at());
			if (!segments.isEmpty() && implicating.size() < MAXIMUM_REPORTED_CRASHES) {
				implicating.add(new PeerMessage.Crash(crash.run(), crash.address(), now - crash.at(), segments));
			}
		}
		return new PeerMessage.CrashEvidence(implicating, Map.of());
	}

	/**
	 * Returns whether there is anything to tell peers.
	 * @return whether any crash is known
	 */
	public synchronized boolean hasEvidence() {
		return !this.crashes.isEmpty();
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
	 * Returns the number of segments to which crashes are attributed.
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
			if (crash.segments().keySet().stream().anyMatch(this.verdicts::containsKey)) {
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
				longestUnanswered(merged.segments(), MAXIMUM_SEGMENTS_PER_CRASH));
		if (merged.equals(known)) {
			return false;
		}
		this.crashes.put(crash.run(), merged);
		if (this.crashes.size() > MAXIMUM_CRASHES) {
			this.crashes.remove(gravestFirst().getLast().run());
		}
		boolean isNews = known == null || !merged.segments().equals(known.segments());
		if (isNews) {
			announce();
		}
		return isNews;
	}

	private Map<String, Integer> longestUnanswered(Map<String, Integer> segments, int limit) {
		if (segments.size() <= limit) {
			return segments;
		}
		Map<String, Integer> kept = new HashMap<>();
		segments.keySet()
			.stream()
			.sorted(Comparator.comparingLong(this::answeredAt).thenComparing(Comparator.naturalOrder()))
			.limit(limit)
			.forEach((segment) -> kept.put(segment, segments.get(segment)));
		return kept;
	}

	private void announce() {
		this.changed = true;
		this.listener.run();
	}

	private void noteAnswer(String segment, long before, long answeredAt) {
		boolean clears = this.crashes.values()
			.stream()
			.anyMatch((crash) -> before < crash.at() && crash.at() <= answeredAt
					&& crash.segments().containsKey(segment));
		this.judgementDue |= clears;
		// Answers to other segments reach the peers with the regular messages.
		if (clears && this.verdicts.containsKey(segment)) {
			announce();
		}
	}

	private long answeredAt(String segment) {
		return this.answers.getOrDefault(segment, CrashAttribution.NEVER);
	}

	private boolean isExplained(EndpointCrash crash) {
		return crash.segments().keySet().stream().allMatch((segment) -> answeredAt(segment) >= crash.at());
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
		this.verdicts.forEach((segment, verdict) -> {
			CrashVerdict known = before.get(segment);
			if (known == null || known.getClass() != verdict.getClass()) {
				logVerdict(segment, verdict, now);
			}
		});
		before.forEach((segment, verdict) -> {
			if (!this.verdicts.containsKey(segment)) {
				this.log.accept(Event.named("quarantine.cleared")
					.with("segment", segment)
					.with("was_implicated", verdict instanceof CrashVerdict.Implicated)
					.with("answered_before_ms", sinceAnswer(segment, now)));
			}
		});
	}

	private void logVerdict(String segment, CrashVerdict verdict, long now) {
		List<String> evidence = verdict.crashes()
			.stream()
			.map((crash) -> crash.run() + " " + (now - crash.at()) + " ms ago")
			.toList();
		this.log.accept(
				Event.named((verdict instanceof CrashVerdict.Implicated) ? "quarantine.implicated" : "quarantine.suspected")
					.with("segment", segment)
					.with("crashes", verdict.crashes().size())
					.with("answered_before_ms", sinceAnswer(segment, now))
					.with("evidence", evidence));
	}

	private long sinceAnswer(String segment, long now) {
		long answeredAt = answeredAt(segment);
		return (answeredAt != CrashAttribution.NEVER) ? now - answeredAt : -1;
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
		 * @param segment a suspected segment
		 * @param crashes the number of crashes
		 */
		record Suspected(String segment, int crashes) implements Finding {
		}

		/**
		 * The request must not be sent.
		 *
		 * @param segment the segment to which crashes are attributed
		 * @param crashes the number of crashes
		 * @param remainingMilliseconds how long the quarantine lasts unless endpoints
		 * crash again
		 */
		record Quarantined(String segment, int crashes, long remainingMilliseconds) implements Finding {
		}

	}

	/** Times by segment, of which the least recently used are forgotten. */
	private static final class AnswerTimes extends LinkedHashMap<String, Long> {

		private static final long serialVersionUID = 1L;

		private AnswerTimes() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAXIMUM_ANSWERED_SEGMENTS;
		}

	}

}
