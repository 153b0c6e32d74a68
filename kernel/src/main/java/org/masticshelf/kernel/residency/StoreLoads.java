package org.masticshelf.kernel.residency;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Counts the loads from the weight store in progress, including those of engines that
 * were lost meanwhile, and tells how many were in progress when each began.
 * <p>
 * Designed for the loss of many engines at once, when the models that went with them are
 * all fetched again: the store goes on serving the loads of lost engines, so that loads
 * ordered in their place would exceed what it serves at full speed and take several times
 * as long. Loads that are ordered at the same time reach the store in an unknown order.
 * They end in the order in which the store counted them, as each takes longer than the
 * one before. Invariant: a load is counted from its begin until it ends, or for the
 * expected time if its engine was lost. Not thread-safe.
 */
public final class StoreLoads {

	/** Loads that begin within this time may reach the store in any order. */
	static final long BATCH_MILLISECONDS = 150;

	private final List<Load> loads = new ArrayList<>();

	private @Nullable Batch latestBatch;

	/**
	 * Records that an engine has begun to load from the weight store.
	 * @param engine the identifier of the engine
	 * @param nominalMilliseconds how long the load takes at full speed
	 * @param loadsAtFullSpeed how many loads the store is expected to serve at full speed
	 * @param now the monotonic time in milliseconds
	 * @return how long the load is expected to take, in milliseconds
	 */
	public long begin(String engine, long nominalMilliseconds, int loadsAtFullSpeed, long now) {
		removeExpired(now);
		Batch batch = this.latestBatch;
		if (batch == null || now - batch.begunAt > BATCH_MILLISECONDS) {
			batch = new Batch(now, this.loads.size());
			this.latestBatch = batch;
		}
		long expected = (long) (nominalMilliseconds * Math.max(1, (this.loads.size() + 1.0) / loadsAtFullSpeed));
		this.loads.add(new Load(engine, batch, nominalMilliseconds, now, now + expected));
		return expected;
	}

	/**
	 * Records that a load has ended.
	 * @param engine the identifier of the engine
	 * @return the number of loads in progress when it began, including itself, 0 if no
	 * load of the engine is known
	 */
	public int complete(String engine) {
		Load load = find(engine);
		if (load == null) {
			return 0;
		}
		this.loads.remove(load);
		load.batch.completed++;
		return load.batch.before + load.batch.completed;
	}

	/**
	 * Records that the engine of a load was lost. The store goes on serving the load.
	 * @param engine the identifier of the engine
	 */
	public void recordLostEngine(String engine) {
		Load load = find(engine);
		if (load != null) {
			load.lost = true;
		}
	}

	/**
	 * Counts the loads that the store serves.
	 * @param now the monotonic time in milliseconds
	 * @return the number of loads
	 */
	public int count(long now) {
		removeExpired(now);
		return this.loads.size();
	}

	/**
	 * Counts the loads that the store serves for engines that were lost.
	 * @param now the monotonic time in milliseconds
	 * @return the number of loads
	 */
	public int countLost(long now) {
		removeExpired(now);
		return (int) this.loads.stream().filter((load) -> load.lost).count();
	}

	/**
	 * Finds a load that takes longer than at full speed, although the store was expected
	 * to serve it at full speed.
	 * @param loadsAtFullSpeed how many loads the store is expected to serve at full speed
	 * @param now the monotonic time in milliseconds
	 * @return the number of loads in progress when it began, including itself, 0 if there
	 * is none
	 */
	public int findOverdue(int loadsAtFullSpeed, long now) {
		for (Load load : this.loads) {
			int concurrent = load.batch.before + load.batch.completed + 1;
			boolean slow = now - load.begunAt > load.nominalMilliseconds * (1 + StoreThroughput.TOLERATED_DELAY_SHARE);
			if (!load.lost && slow && concurrent > 1 && concurrent <= loadsAtFullSpeed) {
				return concurrent;
			}
		}
		return 0;
	}

	/** Discards all loads. */
	public void clear() {
		this.loads.clear();
		this.latestBatch = null;
	}

	private @Nullable Load find(String engine) {
		return this.loads.stream().filter((load) -> load.engine.equals(engine) && !load.lost).findFirst().orElse(null);
	}

	private void removeExpired(long now) {
		this.loads.removeIf((load) -> load.lost && now >= load.expectedEnd);
	}

	/** Loads that began at the same time. */
	private static final class Batch {

		private final long begunAt;

		private final int before;

		private int completed;

		private Batch(long begunAt, int before) {
			this.begunAt = begunAt;
			this.before = before;
		}

	}

	/** A load in progress. */
	private static final class Load {

		private final String engine;

		private final Batch batch;

		private final long nominalMilliseconds;

		private final long begunAt;

		private final long expectedEnd;

		private boolean lost;

		private Load(String engine, Batch batch, long nominalMilliseconds, long begunAt, long expectedEnd) {
			this.engine = engine;
			this.batch = batch;
			this.nominalMilliseconds = nominalMilliseconds;
			this.begunAt = begunAt;
			this.expectedEnd = expectedEnd;
		}

	}

}
