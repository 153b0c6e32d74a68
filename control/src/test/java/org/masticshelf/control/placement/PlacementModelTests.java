package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.masticshelf.standins.keyvalue.KeyValueCall;

class PlacementModelTests {

	private static final List<String> NAMES = List.of("m", "n", "o", "m:a");

	private static final int STEPS = 80;

	@Property(tries = 300, seed = "11", shrinking = ShrinkingMode.OFF)
	void violatesNoLimitUnderRandomFaultsAndRecovers(@ForAll long seed) {
		Random random = new Random(seed);
		PlacementFleet fleet = new PlacementFleet(3, random.nextBoolean(), PlacementFleet.model("m", 60, 1),
				PlacementFleet.model("n", 60, 2), PlacementFleet.model("o", 30, 1));
		for (String name : new String[] { "a", "b", "c" }) {
			fleet.daemon(name);
		}
		PlacementFleet.Daemon holder = fleet.daemons.get(0);
		fleet.giveDuty(holder);
		for (int step = 0; step < STEPS; step++) {
			holder = step(fleet, holder, random);
			Truth.assertWithMessage("seed %s", seed).that(fleet.engines.violations).isEmpty();
		}
		recover(fleet, holder);
		Truth.assertWithMessage("seed %s", seed).that(fleet.engines.violations).isEmpty();
		Truth.assertWithMessage("seed %s", seed)
			.that(fleet.engines.namesAt("e1").contains("m") || fleet.engines.namesAt("e2").contains("m")
					|| fleet.engines.namesAt("e3").contains("m"))
			.isTrue();
	}

	private static PlacementFleet.Daemon step(PlacementFleet fleet, PlacementFleet.Daemon holder, Random random) {
		String endpoint = "e" + (1 + random.nextInt(3));
		switch (random.nextInt(17)) {
			case 0 -> holder.client.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1 + random.nextInt(2));
			case 1 -> fleet.keyValue.faults().setDown(random.nextBoolean());
			case 2 -> holder.port.answersToLose = random.nextInt(3);
			case 3 -> holder.port.ordersToDelay = random.nextInt(2);
			case 4 -> fleet.engines.restart(endpoint);
			case 5 -> fleet.engines.down.add(endpoint);
			case 6 -> fleet.engines.down.remove(endpoint);
			case 7 -> holder.client.faults().holdRequests();
			case 8 -> holder.client.faults().release();
			case 9 -> {
				return pause(fleet, holder, random);
			}
			case 10 -> resume(fleet, holder, random);
			case 11 -> holder.delayedWrites.writesToDelay = random.nextInt(3);
			case 12 -> holder.delayedWrites.release();
			default -> holder.reportWaiting(holder, randomNames(random));
		}
		run(fleet, holder, 50 + random.nextInt(4_000), random);
		return holder;
	}

	private static String[] randomNames(Random random) {
		List<String> names = new ArrayList<>(NAMES);
		names.removeIf((name) -> random.nextBoolean());
		return names.toArray(String[]::new);
	}

	/**
	 * Moves the duty while the former holder is paused, possibly with orders in flight.
	 */
	private static PlacementFleet.Daemon pause(PlacementFleet fleet, PlacementFleet.Daemon holder, Random random) {
		holder.port.holdsOrders = true;
		holder.reportWaiting(holder, randomNames(random));
		holder.controller.tick();
		holder.answersPeers = false;
		PlacementFleet.Daemon next = fleet.daemons.get(random.nextInt(fleet.daemons.size()));
		if (next == holder) {
			resume(holder);
			return holder;
		}
		resume(next);
		fleet.keyValue.faults().setDown(false);
		fleet.moveDutyUnnoticed(next);
		return next;
	}

	private static void resume(PlacementFleet fleet, PlacementFleet.Daemon holder, Random random) {
		PlacementFleet.Daemon other = fleet.daemons.get(random.nextInt(fleet.daemons.size()));
		if (other != holder) {
			other.duty.tenure = null;
			resume(other);
		}
	}

	/** Resumes a paused daemon, which at once sends everything that it held back. */
	private static void resume(PlacementFleet.Daemon daemon) {
		daemon.client.faults().release();
		daemon.port.release();
		daemon.answersPeers = true;
		daemon.controller.tick();
	}

	private static void run(PlacementFleet fleet, PlacementFleet.Daemon holder, long milliseconds, Random random) {
		String[] names = randomNames(random);
		for (long passed = 0; passed < milliseconds; passed += 500) {
			holder.reportWaiting(holder, names);
			fleet.run(Math.min(500, milliseconds), holder);
		}
	}

	private static void recover(PlacementFleet fleet, PlacementFleet.Daemon holder) {
		fleet.keyValue.faults().setDown(false);
		fleet.engines.down.clear();
		for (PlacementFleet.Daemon daemon : fleet.daemons) {
			daemon.duty.tenure = (daemon == holder) ? daemon.duty.tenure : null;
			daemon.port.answersToLose = 0;
			daemon.port.ordersToDelay = 0;
			daemon.delayedWrites.writesToDelay = 0;
			daemon.delayedWrites.release();
			resume(daemon);
		}
		for (int step = 0; step < 160; step++) {
			holder.reportWaiting(holder, "m");
			fleet.run(500, holder);
		}
	}

}
