package org.masticshelf.kernel.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.masticshelf.kernel.routing.ExpectedTimeSelection.MedianRates;

/**
 * The speed of the endpoints of a pool relative to the pool's median.
 * <p>
 * Load pattern: engines of different speed behind many daemons, each of which sees only
 * few answers of each engine. Own observations and what peers report count by their
 * weight; an endpoint without either counts as the median. Immutable.
 *
 * @param rates the time that endpoints of median speed take
 * @param ratios the ratio of the time that each endpoint takes to that of the median
 * @param own the ratios by own observations alone
 * @param slowest the highest ratio among endpoints that were observed often enough, 0 if
 * there are none
 * @param fastest the lowest ratio among them
 */
public record PoolPaces(MedianRates rates, Map<String, Double> ratios, Map<String, Double> own, double slowest,
		double fastest) {

	/** The ratio between two endpoints from which they count as different. */
	static final double DIFFERENT_RATIO = 1.3;

	/** The observations without which an endpoint does not count as different. */
	static final int MINIMUM_OBSERVATIONS = 8;

	/** The own observations without which a ratio is not reported to peers. */
	public static final int REPORTED_OBSERVATIONS = 4;

	/** The weight of the assumption that an endpoint has the median speed. */
	private static final double MEDIAN_WEIGHT = 1;

	/** The weight of what one peer reports, in observations. */
	private static final double REPORTED_WEIGHT = 2;

	/** Ratios beyond this are taken for outliers of few observations. */
	private static final double MAXIMUM_RATIO = 5;

	private static final MedianRates TYPICAL_RATES = new MedianRates(1 / PromptWork.TYPICAL_TOKENS_PER_MILLISECOND, 1);

	/** Nothing is known. */
	public static final PoolPaces NONE = of(Map.of(), Map.of());

	/**
	 * Compares the endpoints of a pool.
	 * @param paces the own observations by endpoint, weighted by their age
	 * @param reported the ratios that peers reported of each endpoint, all positive
	 * @return the comparison
	 */
	public static PoolPaces of(Map<String, EndpointPace> paces, Map<String, List<Double>> reported) {
		double token = median(paces.values(), (pace) -> pace.reading().rate());
		double event = median(paces.values(), (pace) -> pace.output().rate());
		double step = median(paces.values(), (pace) -> pace.step().rate());
		Map<String, Double> ratios = new HashMap<>();
		Map<String, Double> own = new HashMap<>();
		double slowest = 0;
		double fastest = Double.POSITIVE_INFINITY;
		Set<String> endpoints = new HashSet<>(paces.keySet());
		endpoints.addAll(reported.keySet());
		for (String endpoint : endpoints) {
			EndpointPace pace = paces.getOrDefault(endpoint, EndpointPace.NONE);
			double sum = logarithm(pace.reading(), token) + logarithm(pace.output(), event);
			double weight = MEDIAN_WEIGHT + pace.weight();
			own.put(endpoint, Math.exp(sum / weight));
			List<Double> reportedRatios = reported.getOrDefault(endpoint, List.of());
			for (double ratio : reportedRatios) {
				sum += REPORTED_WEIGHT * Math.log(ratio);
				weight += REPORTED_WEIGHT;
			}
			double ratio = Math.exp(sum / weight);
			ratios.put(endpoint, ratio);
			if (pace.observations() + (long) REPORTED_OBSERVATIONS * reportedRatios.size() >= MINIMUM_OBSERVATIONS) {
				slowest = Math.max(slowest, ratio);
				fastest = Math.min(fastest, ratio);
			}
		}
		return new PoolPaces(
				new MedianRates((token > 0) ? token : TYPICAL_RATES.tokenMilliseconds(),
						(step > 0) ? step : TYPICAL_RATES.stepMilliseconds()),
				Map.copyOf(ratios), Map.copyOf(own), slowest, fastest);
	}

	private static double logarithm(EndpointPace.Observed observed, double median) {
		if (observed.weight() <= 0 || median <= 0) {
			return 0;
		}
		double ratio = Math.clamp(observed.rate() / median, 1 / MAXIMUM_RATIO, MAXIMUM_RATIO);
		return observed.weight() * Math.log(ratio);
	}

	private static double median(Collection<EndpointPace> paces, ToDoubleFunction<EndpointPace> rate) {
		double[] sorted = paces.stream().mapToDouble(rate).filter((value) -> value > 0).sorted().toArray();
		return (sorted.length > 0) ? (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2 : 0;
	}

	/**
	 * Returns whether endpoints of the pool are observed to differ.
	 * @return whether their speed matters for the choice
	 */
	public boolean differ() {
		return this.slowest >= DIFFERENT_RATIO * this.fastest;
	}

	/**
	 * Returns the ratio of the time that an endpoint takes to that of the median.
	 * @param endpoint the endpoint's identifier
	 * @return the ratio, 1 while endpoints are not observed to differ
	 */
	public double ratio(String endpoint) {
		return differ() ? this.ratios.getOrDefault(endpoint, 1.0) : 1;
	}

}
