package org.masticshelf.bench.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Keeps count of what became of each request, apart from the compared systems.
 * <p>
 * Invariant: each flight gets one outcome; a second one ends the replay. Used by one
 * thread.
 */
final class Ledger {

	private static final double HIGHEST_MILLISECONDS = 3_600_000;

	private static final long TOLERANCE_NANOSECONDS = 200_000_000L;

	private final VirtualTime time;

	private final Map<QualifiedName, TokenBucket> tallies = new HashMap<>();

	private final Map<Long, Boolean> outcomes = new HashMap<>();

	private final Map<String, Tally> organisations = new LinkedHashMap<>();

	private final List<Double> coldStarts = new ArrayList<>();

	private final List<Double> smallColdStarts = new ArrayList<>();

	private final Map<String, Integer> refusals = new TreeMap<>();

	private int arrived;

	private int wrongfulRefusals;

	private int refusalsOfModerate;

	private int outcomesAfterDeadline;

	private double tokensAboveGrant;

	Ledger(TraceHeader header, Fleet fleet, VirtualTime time) {
		this.time = time;
		for (TraceHeader.OrganisationRow row : header.organisations()) {
			this.tallies.put(fleet.name(row.name()), new TokenBucket(row.tokensPerSecond(), row.burstTokens()));
			this.organisations.put(row.name(), new Tally(row.small()));
		}
	}

	void arrived(Flight flight) {
		this.arrived++;
		if (flight.insideRate) {
			tally(flight).inside++;
		}
	}

	/**
	 * Notes that an endpoint starts to run a request: tallies its tokens against the
	 * organisation's grant, and the cold start.
	 * @param flight the request
	 */
	void started(Flight flight) {
		TokenBucket tally = this.tallies.get(flight.organisation);
		if (tally != null) {
			double level = tally.take(flight.request.usedTokens(), this.time.now());
			this.tokensAboveGrant = Math.max(this.tokensAboveGrant, -level);
		}
		if (flight.cold) {
			coldStart(flight, milliseconds(flight));
		}
	}

	private void coldStart(Flight flight, double milliseconds) {
		this.coldStarts.add(milliseconds);
		if (tally(flight).small) {
			this.smallColdStarts.add(milliseconds);
		}
	}

	private double milliseconds(Flight flight) {
		return (this.time.now() - flight.arrived) / (double) VirtualTime.NANOSECONDS_PER_MILLISECOND;
	}

	void answered(Flight flight) {
		settle(flight);
		if (this.time.now() <= flight.deadline() && flight.insideRate) {
			tally(flight).inTime++;
		}
	}

	/**
	 * Notes a refusal. A cold start that ended in a refusal counts with the whole time
	 * that the caller would have waited.
	 * @param flight the request
	 * @param reason the reason
	 * @param hasStarted whether an endpoint had started to run it
	 */
	void refused(Flight flight, String reason, boolean hasStarted) {
		settle(flight);
		this.refusals.merge(reason, 1, Integer::sum);
		if (flight.insideRate) {
			this.wrongfulRefusals++;
		}
		if (flight.organisationInsideRate) {
			this.refusalsOfModerate++;
		}
		if (flight.cold && !hasStarted && flight.organisationInsideRate) {
			coldStart(flight, flight.request.deadlineMilliseconds());
		}
	}

	private void settle(Flight flight) {
		if (this.outcomes.put(flight.request.identifier(), true) != null) {
			throw new IllegalStateException("request " + flight.request.identifier() + " has two outcomes");
		}
		if (this.time.now() > flight.deadline() + TOLERANCE_NANOSECONDS) {
			this.outcomesAfterDeadline++;
		}
	}

	private Tally tally(Flight flight) {
		Tally tally = this.organisations.get(flight.request.organisation());
		if (tally == null) {
			throw new IllegalStateException(flight.request.organisation() + " is not in the trace");
		}
		return tally;
	}

	Measures toMeasures(String system, Fleet fleet) {
		Map<String, Double> shares = new TreeMap<>();
		this.organisations.forEach((name, tally) -> shares.put(name, tally.share()));
		double worst = shares.values().stream().mapToDouble(Double::doubleValue).min().orElse(1);
		Histogram all = histogram(this.coldStarts);
		Histogram small = histogram(this.smallColdStarts);
		return new Measures(system, this.arrived, this.arrived - this.outcomes.size(), this.outcomesAfterDeadline,
				this.coldStarts.size(), Measures.Percentiles.of(all), Measures.Percentiles.of(small),
				fleet.idleAcceleratorHours(), worst, shares, this.wrongfulRefusals, this.refusalsOfModerate,
				this.tokensAboveGrant, fleet.store().mostRemoteLoads(), Map.copyOf(this.refusals));
	}

	private static Histogram histogram(List<Double> milliseconds) {
		Histogram histogram = new Histogram((long) HIGHEST_MILLISECONDS, 3);
		milliseconds.forEach((value) -> histogram.recordValue(Math.round(Math.min(value, HIGHEST_MILLISECONDS))));
		return histogram;
	}

	private static final class Tally {

		private final boolean small;

		private int inside;

		private int inTime;

		private Tally(boolean small) {
			this.small = small;
		}

		private double share() {
			return (this.inside > 0) ? (double) this.inTime / this.inside : 1;
		}

	}

}
