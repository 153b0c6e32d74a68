package org.masticshelf.bench.replay;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * The report of a replay.
 * <p>
 * Immutable.
 *
 * @param deployment the title of the deployment
 * @param seed the seed of the trace
 * @param measures the measures of masticshelf and of the baseline
 * @param expectations the judged expectations
 */
public record ReplayReport(String deployment, long seed, List<Measures> measures, List<Expectation> expectations) {

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	/**
	 * Prints the table.
	 * @param target where to print
	 */
	public void print(PrintStream target) {
		target.printf("deployment %s, seed %d%n", this.deployment, this.seed);
		target.printf("%-42s%16s%16s%n", "measure", this.measures.get(0).system(), this.measures.get(1).system());
		row(target, "requests", (each) -> each.requests());
		row(target, "cold requests", (each) -> each.coldRequests());
		row(target, "cold start p50, ms", (each) -> each.coldStart().median());
		row(target, "cold start p95, ms", (each) -> each.coldStart().ninetyFifth());
		row(target, "cold start p99, ms", (each) -> each.coldStart().ninetyNinth());
		row(target, "cold start p50 of small organisations, ms", (each) -> each.smallColdStart().median());
		row(target, "cold start p95 of small organisations, ms", (each) -> each.smallColdStart().ninetyFifth());
		row(target, "cold start p99 of small organisations, ms", (each) -> each.smallColdStart().ninetyNinth());
		row(target, "idle accelerator hours", Measures::idleAcceleratorHours);
		row(target, "worst-served organisation, share in time", Measures::worstShareInTime);
		row(target, "refused although inside the rate", (each) -> each.wrongfulRefusals());
		row(target, "refused, organisation inside its rate", (each) -> each.refusalsOfModerate());
		this.measures.forEach((each) -> target.printf("refusals of %s: %s%n", each.system(), each.refusals()));
		this.measures
			.forEach((each) -> target.printf("shares in time of %s: %s%n", each.system(), each.sharesInTime()));
		this.expectations.forEach(
				(each) -> target.printf("%-7s %s (%s)%n", each.met() ? "met" : "MISSED", each.text(), each.seen()));
	}

	private void row(PrintStream target, String title, ToNumber value) {
		target.printf("%-42s%16s%16s%n", title, format(value.of(this.measures.get(0))),
				format(value.of(this.measures.get(1))));
	}

	private static String format(Number value) {
		return (value instanceof Double real) ? String.format(Locale.ROOT, "%.3f", real) : value.toString();
	}

	/**
	 * Writes this report as JSON.
	 * @param file the file to replace
	 * @throws IOException if it cannot be written
	 */
	public void writeJson(Path file) throws IOException {
		Files.writeString(file, MAPPER.writeValueAsString(this) + System.lineSeparator());
	}

	/**
	 * Draws the cold starts of both systems.
	 * @param file the PNG file to replace
	 * @throws IOException if it cannot be written
	 */
	public void writePlot(Path file) throws IOException {
		CategoryChart chart = new CategoryChartBuilder().width(900)
			.height(500)
			.title("Cold start, " + this.deployment)
			.xAxisTitle("percentile")
			.yAxisTitle("milliseconds")
			.build();
		List<String> names = List.of("p50", "p95", "p99", "small p50", "small p95", "small p99");
		for (Measures each : this.measures) {
			Measures.Percentiles all = each.coldStart();
			Measures.Percentiles small = each.smallColdStart();
			chart.addSeries(each.system(), names, List.of(all.median(), all.ninetyFifth(), all.ninetyNinth(),
					small.median(), small.ninetyFifth(), small.ninetyNinth()));
		}
		BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
	}

	@FunctionalInterface
	private interface ToNumber {

		Number of(Measures measures);

	}

}
