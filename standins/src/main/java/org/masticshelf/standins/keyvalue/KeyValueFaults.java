package org.masticshelf.standins.keyvalue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Fault switches of a key-value service, or of one client's way to it.
 * <p>
 * Invariant: what is held runs at most once, in the order in which it was held. Safe for
 * use by several threads; held work runs on the thread that releases it.
 */
public final class KeyValueFaults {

	private final Map<KeyValueCall, Integer> answersToLose = new EnumMap<>(KeyValueCall.class);

	private final List<Held> held = new ArrayList<>();

	private final List<Runnable> heldBatches = new ArrayList<>();

	private final Runnable onDown;

	private boolean down;

	private boolean holdsRequests;

	private boolean holdsAnswers;

	private boolean holdsBatches;

	private boolean duplicatesBatches;

	private int batchesToDrop;

	KeyValueFaults(Runnable onDown) {
		this.onDown = onDown;
	}

	/**
	 * Takes the service away or brings it back. Going down breaks the watches and fails
	 * what is held; leases go on running out.
	 * @param value whether calls fail from now on, without taking effect
	 */
	public void setDown(boolean value) {
		List<Held> abandoned = new ArrayList<>();
		synchronized (this) {
			this.down = value;
			if (value) {
				abandoned.addAll(this.held);
				this.held.clear();
				this.heldBatches.clear();
			}
		}
		abandoned.forEach((each) -> each.abandon().run());
		if (value) {
			this.onDown.run();
		}
	}

	/**
	 * Loses the next answers of one kind of call after the call took effect.
	 * @param call the kind of call
	 * @param count how many answers to lose
	 */
	public synchronized void loseNextAnswers(KeyValueCall call, int count) {
		this.answersToLose.put(call, count);
	}

	/**
	 * Holds calls back from now on, before they take effect, until {@link #release()}.
	 */
	public synchronized void holdRequests() {
		this.holdsRequests = true;
	}

	/**
	 * Holds answers back from now on, after the calls took effect, until
	 * {@link #release()}.
	 */
	public synchronized void holdAnswers() {
		this.holdsAnswers = true;
	}

	/**
	 * Lets all held requests and answers go on, in order, and holds no more.
	 */
	public void release() {
		List<Held> released;
		synchronized (this) {
			this.holdsRequests = false;
			this.holdsAnswers = false;
			released = List.copyOf(this.held);
			this.held.clear();
		}
		released.forEach((each) -> each.proceed().run());
	}

	/**
	 * Returns how many requests and answers are held.
	 * @return the number of held requests and answers
	 */
	public synchronized int heldCount() {
		return this.held.size();
	}

	/**
	 * Drops the next batches that watches would report.
	 * @param count how many batches to drop
	 */
	public synchronized void dropNextWatchBatches(int count) {
		this.batchesToDrop = count;
	}

	/**
	 * Reports each batch of a watch twice from now on, or once again.
	 * @param value whether to duplicate
	 */
	public synchronized void duplicateWatchBatches(boolean value) {
		this.duplicatesBatches = value;
	}

	/**
	 * Holds the batches of watches back until {@link #releaseWatchBatches()}.
	 */
	public synchronized void holdWatchBatches() {
		this.holdsBatches = true;
	}

	/**
	 * Reports all held batches in order and holds no more.
	 */
	public void releaseWatchBatches() {
		List<Runnable> released;
		synchronized (this) {
			this.holdsBatches = false;
			released = List.copyOf(this.heldBatches);
			this.heldBatches.clear();
		}
		released.forEach(Runnable::run);
	}

	/**
	 * Returns whether calls fail.
	 * @return whether the service is taken away
	 */
	public synchronized boolean isDown() {
		return this.down;
	}

	synchronized boolean losesAnswer(KeyValueCall call) {
		int left = this.answersToLose.getOrDefault(call, 0);
		if (left > 0) {
			this.answersToLose.put(call, left - 1);
		}
		return left > 0;
	}

	void passRequest(Held request) {
		synchronized (this) {
			if (this.holdsRequests && !this.down) {
				this.held.add(request);
				return;
			}
		}
		request.proceed().run();
	}

	void passAnswer(Held answer) {
		synchronized (this) {
			if (this.holdsAnswers && !this.down) {
				this.held.add(answer);
				return;
			}
		}
		answer.proceed().run();
	}

	void passBatch(Runnable report) {
		boolean twice;
		synchronized (this) {
			if (this.down) {
				return;
			}
			if (this.batchesToDrop > 0) {
				this.batchesToDrop--;
				return;
			}
			twice = this.duplicatesBatches;
			if (this.holdsBatches) {
				this.heldBatches.add(report);
				if (twice) {
					this.heldBatches.add(report);
				}
				return;
			}
		}
		report.run();
		if (twice) {
			report.run();
		}
	}

	/**
	 * A held request or answer.
	 *
	 * @param proceed goes on with it
	 * @param abandon fails it
	 */
	record Held(Runnable proceed, Runnable abandon) {
	}

}
