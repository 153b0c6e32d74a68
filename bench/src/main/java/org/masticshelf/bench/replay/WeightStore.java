package org.masticshelf.bench.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import org.masticshelf.kernel.port.Engine;

/**
 * How long loads take: the store serves four at full speed and starts three a second, and
 * thirty adapters at once; beyond that loads take proportionally longer.
 * <p>
 * Used by one thread.
 */
final class WeightStore {

	private static final int FULL_SPEED_LOADS = 4;

	private static final int FULL_SPEED_ADAPTERS = 30;

	private static final int STARTS_PER_SECOND = 3;

	private static final long SECOND = 1_000_000_000L;

	private static final double REMOTE_SECONDS_PER_GIGABYTE = 0.75;

	private static final double DISK_SECONDS_PER_GIGABYTE = 0.2;

	private static final double MEMORY_SECONDS_PER_GIGABYTE = 0.05;

	private final Deployment deployment;

	private final Random random;

	private final Deque<Long> starts = new ArrayDeque<>();

	private double speed = 1;

	private int remoteLoads;

	private int adapterLoads;

	private int mostRemoteLoads;

	WeightStore(Deployment deployment, long seed) {
		this.deployment = deployment;
		this.random = new Random(seed);
	}

	void speed(double factor) {
		this.speed = factor;
	}

	/**
	 * Starts a load of a model.
	 * @param gigabytes the size of the weights
	 * @param level where they lie
	 * @param now the reading
	 * @return how long it takes in nanoseconds
	 */
	long startModel(double gigabytes, Engine.CacheLevel level, long now) {
		return switch (level) {
			case MEMORY -> (long) (gigabytes * MEMORY_SECONDS_PER_GIGABYTE * SECOND);
			case DISK -> (long) (gigabytes * DISK_SECONDS_PER_GIGABYTE * SECOND);
			case REMOTE -> startRemote(gigabytes, now);
		};
	}

	private long startRemote(double gigabytes, long now) {
		this.remoteLoads++;
		this.mostRemoteLoads = Math.max(this.mostRemoteLoads, this.remoteLoads);
		long start = now;
		if (this.starts.size() == STARTS_PER_SECOND) {
			start = Math.max(now, this.starts.removeFirst() + SECOND);
		}
		this.starts.addLast(start);
		double crowding = Math.max(1, (double) this.remoteLoads / FULL_SPEED_LOADS);
		return start - now + (long) (gigabytes * REMOTE_SECONDS_PER_GIGABYTE * crowding / this.speed * SECOND);
	}

	void endModel(Engine.CacheLevel level) {
		if (level == Engine.CacheLevel.REMOTE) {
			this.remoteLoads--;
		}
	}

	long startAdapter() {
		this.adapterLoads++;
		int range = this.deployment.mostAdapterMilliseconds() - this.deployment.leastAdapterMilliseconds() + 1;
		long milliseconds = this.deployment.leastAdapterMilliseconds() + this.random.nextInt(range);
		double crowding = Math.max(1, (double) this.adapterLoads / FULL_SPEED_ADAPTERS);
		return (long) (milliseconds * crowding * VirtualTime.NANOSECONDS_PER_MILLISECOND);
	}

	void endAdapter() {
		this.adapterLoads--;
	}

	int remoteLoads() {
		return this.remoteLoads;
	}

	int adapterLoads() {
		return this.adapterLoads;
	}

	int mostRemoteLoads() {
		return this.mostRemoteLoads;
	}

}
