package org.masticshelf.serving.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.admission.HeldBytes;
import org.masticshelf.kernel.admission.HeldBytes.HeldAnswer;
import org.masticshelf.kernel.admission.HeldBytes.Holdings;
import org.masticshelf.kernel.admission.HeldBytes.Level;
import org.masticshelf.kernel.admission.HeldBytes.Relief;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.caller.CallerMemory;

/**
 * Counts the bytes that a daemon holds for callers and endpoints, and applies the
 * decisions of {@link HeldBytes}.
 * <p>
 * Invariants: a body counts from its announcement until its request has ended, and a part
 * of an answer from when it is queued until its caller takes it or has disconnected;
 * neither count is negative. The state is guarded by the lock of this object; events are
 * logged and answers given up outside of it. Thread-safe.
 */
public final class HeldBytesLedger implements CallerMemory {

	/**
	 * The share of the heap that may be held. A body or an answer exists twice while it
	 * is copied into or out of its buffers, and the remainder is for everything else.
	 */
	private static final double SHARE_OF_HEAP = 0.25;

	private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

	/** The number of recent bodies from which the median is taken. */
	private static final int RECENT_BODIES = 101;

	private final MonotonicClock clock;

	private final Consumer<Event> log;

	private final long limit;

	private final long[] recentBodies = new long[RECENT_BODIES];

	private final Map<Long, Answer> openAnswers = new LinkedHashMap<>();

	private long bodiesSeen;

	private long answersOpened;

	private long bodyBytes;

	private long answerBytes;

	private long refusals;

	private long answersGivenUp;

	private Level loggedLevel = Level.BELOW;

	/**
	 * Creates a ledger that holds nothing.
	 * @param limit the limit of all held bytes
	 * @param clock the clock
	 * @param log receives the events
	 */
	public HeldBytesLedger(long limit, MonotonicClock clock, Consumer<Event> log) {
		this.limit = limit;
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Creates a ledger for this process.
	 * @param memoryMegabytes the memory of the process, 0 for no bound
	 * @param clock the clock
	 * @param log receives the events
	 * @return the ledger, {@code null} for no bound
	 */
	public static @Nullable HeldBytesLedger create(long memoryMegabytes, MonotonicClock clock, Consumer<Event> log) {
		if (memoryMegabytes == 0) {
			return null;
		}
		long limit = limit(memoryMegabytes, Runtime.getRuntime().maxMemory());
		log.accept(Event.named("memory.bounded").with("memory_mb", memoryMegabytes).with("limit", limit));
		return new HeldBytesLedger(limit, clock, log);
	}

	/**
	 * Derives the limit of held bytes.
	 * @param memoryMegabytes the memory of the process
	 * @param heapBytes the maximum size of the heap
	 * @return the limit in bytes
	 */
	public static long limit(long memoryMegabytes, long heapBytes) {
		return (long) (Math.min(memoryMegabytes * BYTES_PER_MEGABYTE, heapBytes) * SHARE_OF_HEAP);
	}

	@Override
	public Decision admit(String identifier, long announcedBytes) {
		HeldBytes decision;
		Holdings holdings;
		Body body = new Body();
		synchronized (this) {
			holdings = holdings();
			decision = HeldBytes.decide(holdings, (announcedBytes < 0) ? HeldBytes.UNKNOWN_LENGTH : announcedBytes);
			if (announcedBytes > 0) {
				recordLength(announcedBytes);
			}
			switch (decision) {
				case HeldBytes.Accept accept -> body.hold(Math.max(0, announcedBytes));
				case HeldBytes.Refuse refuse -> this.refusals++;
			}
		}
		logLevel();
		return switch (decision) {
			case HeldBytes.Accept accept -> new Decision.Accepted(body);
			case HeldBytes.Refuse refuse -> refused(identifier, announcedBytes, holdings, refuse);
		};
	}

	private Decision refused(String identifier, long announcedBytes, Holdings holdings, HeldBytes.Refuse refuse) {
		// Callers that are refused together do not all come back together.
		long retryAfter = refuse.retryAfterMilliseconds()
				+ Math.floorMod(identifier.hashCode(), refuse.retryAfterMilliseconds());
		this.log.accept(describe(Event.named("request.refused").with("id", identifier), holdings).with("status", 503)
			.with("reason", "memory")
			.with("retry_after_ms", retryAfter)
			.with("level", refuse.level())
			.with("body_bytes", announcedBytes));
		return new Decision.Refused(retryAfter);
	}

	@Override
	public synchronized AnswerAccount openAnswer(String identifier, Runnable giveUp) {
		Answer answer = new Answer(this.answersOpened++, identifier, giveUp);
		this.openAnswers.put(answer.number, answer);
		return answer;
	}

	/**
	 * Gives up an answer if more is held than the limit and its caller takes nothing. To
	 * be called periodically.
	 */
	public void relieve() {
		Answer answer = null;
		Holdings holdings;
		long bytes = 0;
		long stalled = 0;
		synchronized (this) {
			holdings = holdings();
			if (HeldBytes.relieve(holdings, heldAnswers()) instanceof Relief.GiveUp giveUp) {
				answer = this.openAnswers.get(giveUp.answer().number());
				bytes = giveUp.answer().bytes();
				stalled = giveUp.answer().stalledMilliseconds();
				this.answersGivenUp++;
			}
		}
		if (answer != null) {
			answer.release();
			this.log.accept(describe(Event.named("answer.given_up").with("id", answer.identifier), holdings)
				.with("bytes", bytes)
				.with("stalled_ms", stalled));
			answer.giveUp.run();
		}
		logLevel();
	}

	private List<HeldAnswer> heldAnswers() {
		long now = this.clock.milliseconds();
		List<HeldAnswer> held = new ArrayList<>();
		for (Answer answer : this.openAnswers.values()) {
			if (answer.bytes > 0) {
				held.add(new HeldAnswer(answer.number, answer.bytes, now - answer.progressAt));
			}
		}
		return held;
	}

	private void logLevel() {
		Holdings holdings;
		Level level;
		Level before;
		synchronized (this) {
			holdings = holdings();
			level = Level.of(holdings);
			before = this.loggedLevel;
			this.loggedLevel = level;
		}
		if (level != before) {
			this.log
				.accept(describe(Event.named("memory.level"), holdings).with("level", level).with("before", before));
		}
	}

	private static Event describe(Event event, Holdings holdings) {
		return event.with("held_bodies", holdings.bodies())
			.with("held_answers", holdings.answers())
			.with("limit", holdings.limit())
			.with("median_body", holdings.medianBody());
	}

	/**
	 * Returns the bytes that are held now.
	 * @return the bytes by direction, the limit and the median body
	 */
	public synchronized Holdings holdings() {
		int known = (int) Math.min(this.bodiesSeen, RECENT_BODIES);
		long[] sorted = Arrays.copyOf(this.recentBodies, known);
		Arrays.sort(sorted);
		long median = (known > 0) ? sorted[known / 2] : 0;
		return new Holdings(this.bodyBytes, this.answerBytes, this.limit, median);
	}

	/**
	 * Returns the number of refused requests.
	 * @return the number since the start
	 */
	public synchronized long refusals() {
		return this.refusals;
	}

	/**
	 * Returns the number of answers that were given up.
	 * @return the number since the start
	 */
	public synchronized long answersGivenUp() {
		return this.answersGivenUp;
	}

	private synchronized void recordLength(long bytes) {
		this.recentBodies[(int) (this.bodiesSeen++ % RECENT_BODIES)] = bytes;
	}

	/** The account of a body; its state is guarded by the lock of the ledger. */
	private final class Body implements BodyAccount {

		private long bytes;

		private long unannounced;

		private boolean released;

		private void hold(long added) {
			this.bytes += added;
			HeldBytesLedger.this.bodyBytes += added;
		}

		@Override
		public void add(long added) {
			synchronized (HeldBytesLedger.this) {
				if (!this.released) {
					this.unannounced += added;
					hold(added);
				}
			}
		}

		@Override
		public void release() {
			synchronized (HeldBytesLedger.this) {
				if (this.released) {
					return;
				}
				this.released = true;
				HeldBytesLedger.this.bodyBytes -= this.bytes;
				if (this.unannounced > 0) {
					recordLength(this.unannounced);
				}
			}
		}

	}

	/** The account of an answer; its state is guarded by the lock of the ledger. */
	private final class Answer implements AnswerAccount {

		private final long number;

		private final String identifier;

		private final Runnable giveUp;

		private long bytes;

		private long progressAt;

		private boolean released;

		private Answer(long number, String identifier, Runnable giveUp) {
			this.number = number;
			this.identifier = identifier;
			this.giveUp = giveUp;
		}

		@Override
		public void add(long added) {
			synchronized (HeldBytesLedger.this) {
				if (this.released) {
					return;
				}
				if (this.bytes == 0) {
					this.progressAt = HeldBytesLedger.this.clock.milliseconds();
				}
				this.bytes += added;
				HeldBytesLedger.this.answerBytes += added;
			}
		}

		@Override
		public void take(long taken) {
			synchronized (HeldBytesLedger.this) {
				if (this.released) {
					return;
				}
				this.progressAt = HeldBytesLedger.this.clock.milliseconds();
				this.bytes -= taken;
				HeldBytesLedger.this.answerBytes -= taken;
			}
		}

		@Override
		public void release() {
			synchronized (HeldBytesLedger.this) {
				if (this.released) {
					return;
				}
				this.released = true;
				HeldBytesLedger.this.answerBytes -= this.bytes;
				HeldBytesLedger.this.openAnswers.remove(this.number);
			}
		}

	}

}
