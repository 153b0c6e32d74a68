package org.masticshelf.control.duty;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.masticshelf.control.membership.Members;
import org.masticshelf.control.view.PrefixView;
import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Duties that are held under the lease of the daemon.
 * <p>
 * Invariant: a duty is held only by the daemon whose transaction created its key, and
 * only while the lease that the key is bound to is certainly held. After the service was
 * restored from an earlier state, only the daemon that held a duty at that moment may
 * hold it before every lease from before has ended. Safe for use by several threads.
 */
public final class LeasedDuties implements Duties {

	/** The prefix of the keys of duties, followed by the name of the duty. */
	public static final String PREFIX = "masticshelf/duty/";

	private final Map<String, LeasedDuty> contested = new ConcurrentHashMap<>();

	private final Map<String, LeasedDuty> followed = new ConcurrentHashMap<>();

	private final Context context;

	/**
	 * Creates duties.
	 * @param store the key-value service
	 * @param clock the clock
	 * @param lease the lease of the daemon
	 * @param view a copy of all keys with {@link #PATH_PREFIX}
	 * @param members the members
	 * @param random adds jitter to the attempts, so that daemons do not compete at the
	 * same time
	 * @param log receives the events
	 */
	public LeasedDuties(KeyValueStore store, MonotonicClock clock, DaemonLease lease, PrefixView view, Members members,
			Random random, Consumer<Event> log) {
		this.context = new Context(store, clock, lease, view, members, random, log);
		lease.addListener(this::checkTenures);
		view.addListener(this::checkTenures);
		store.addRestoreListener(this::suspendTenures);
	}

	@Override
	public Duty compete(String name) {
		return this.contested.computeIfAbsent(name, (key) -> new LeasedDuty(key, this.context, this::heldCount));
	}

	@Override
	public Duty follow(String name) {
		return this.followed.computeIfAbsent(name, (key) -> new LeasedDuty(key, this.context, this::heldCount));
	}

	private int heldCount(String prefix) {
		return (int) this.contested.values()
			.stream()
			.filter((duty) -> duty.name().startsWith(prefix))
			.filter(LeasedDuty::isHeldOrAttempted)
			.count();
	}

	private void suspendTenures() {
		this.contested.values().forEach(LeasedDuty::suspend);
	}

	private void checkTenures() {
		this.contested.values().forEach(LeasedDuty::checkTenure);
	}

	/**
	 * Runs one round: detects the ends of tenures and competes for vacant duties.
	 * @return completed when the service has answered or failed
	 */
	public CompletableFuture<Void> round() {
		List<CompletableFuture<Void>> steps = this.contested.values().stream().map(LeasedDuty::round).toList();
		return CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
	}

	/**
	 * Ends all tenures and deletes the keys of the duties, so that other daemons can take
	 * them at once. A key whose deletion does not reach the service ends with the lease.
	 * @return completed when the service has answered or failed
	 */
	public CompletableFuture<Void> handOver() {
		List<CompletableFuture<Void>> steps = this.contested.values().stream().map(LeasedDuty::handOver).toList();
		return CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
	}

	/**
	 * The collaborators that all duties of a daemon share.
	 *
	 * @param store the key-value service
	 * @param clock the clock
	 * @param lease the lease of the daemon
	 * @param view a copy of the duties' keys
	 * @param members the members
	 * @param random adds jitter to the attempts, so that daemons do not compete at the
	 * same time
	 * @param log receives the events
	 */
	record Context(KeyValueStore store, MonotonicClock clock, DaemonLease lease, PrefixView view, Members members,
			Random random, Consumer<Event> log) {
	}

}
