package org.masticshelf.bench.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticshelf.bench.BenchCommand;
import org.masticshelf.bench.control.ControlRun.Figures;

/**
 * Measures calls to the key-value service, bytes, processor time and convergence at
 * several sizes.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "measure configuration, duties and membership in virtual time")
public final class ControlCommand implements BenchCommand {

	@Parameter(names = "--daemons", description = "numbers of daemons")
	private List<Integer> daemons = List.of(4, 16, 64);

	@Parameter(names = "--tables", description = "multiples of the tables of today")
	private List<Integer> tables = List.of(1, 4, 16);

	@Parameter(names = "--domains", description = "number of failure domains")
	private int domains = 3;

	@Parameter(names = "--output", description = "the directory for the JSON report")
	private String output = "target/control";

	@Override
	public String name() {
		return "control";
	}

	@Override
	public int run() throws IOException {
		List<Figures> all = new ArrayList<>();
		new ControlRun(4, this.domains, 1).run();
		System.out.printf("%7s %9s %6s %28s %7s %7s %8s %8s %8s %7s %7s %9s %9s %9s%n", "daemons", "loadables", "pages",
				"calls/s get/list/keep/write", "watches", "msg/s", "B/s", "max B/s", "core %", "conv s", "max s",
				"B/change", "ms/change", "B plain");
		for (int count : this.daemons) {
			for (int multiple : this.tables) {
				Figures figures = new ControlRun(count, this.domains, multiple).run();
				all.add(figures);
				print(figures);
			}
		}
		fit("calls to the service a second by daemons", all, Figures::daemons, ControlCommand::totalCalls);
		fit("bytes a second by daemons", all, Figures::daemons, Figures::bytesASecond);
		fit("bytes of a change by loadables", all, Figures::loadables, Figures::bytesOfChange);
		fit("processor seconds of a change by loadables", all, Figures::loadables, Figures::processorSecondsOfChange);
		fit("processor share when steady by daemons", all, Figures::daemons, Figures::processorShare);
		Path directory = Path.of(this.output);
		Files.createDirectories(directory);
		new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(directory.resolve("control.json").toFile(), all);
		return 0;
	}

	private static double totalCalls(Figures figures) {
		return figures.callsASecond().values().stream().mapToDouble(Double::doubleValue).sum();
	}

	private static double rate(Figures figures, String call) {
		return figures.callsASecond().getOrDefault(call, 0.0);
	}

	private static void print(Figures figures) {
		String calls = "%.1f / %.1f / %.1f / %.1f".formatted(rate(figures, "GET"), rate(figures, "LIST"),
				rate(figures, "KEEP_ALIVE"), rate(figures, "TRANSACT"));
		System.out.printf("%7d %9d %6d %28s %7d %7.1f %8.0f %8.0f %8.3f %7.2f %7.2f %9.0f %9.2f %9d%n",
				figures.daemons(), figures.loadables(), figures.pages(), calls, figures.watches(),
				figures.messagesASecond(), figures.bytesASecond(), figures.maximumBytesASecond(),
				figures.processorShare() * 100, figures.convergenceSeconds(), figures.maximumConvergenceSeconds(),
				figures.bytesOfChange(), figures.processorSecondsOfChange() * 1_000, figures.bytesOfPlainReading());
	}

	private static void fit(String title, List<Figures> all, ToDoubleFunction<Figures> size,
			ToDoubleFunction<Figures> value) {
		double meanSize = all.stream().mapToDouble(size).average().orElse(0);
		double meanValue = all.stream().mapToDouble(value).average().orElse(0);
		double covariance = 0;
		double variance = 0;
		for (Figures figures : all) {
			double distance = size.applyAsDouble(figures) - meanSize;
			covariance += distance * (value.applyAsDouble(figures) - meanValue);
			variance += distance * distance;
		}
		double slope = (variance != 0) ? covariance / variance : 0;
		double start = meanValue - slope * meanSize;
		double residual = 0;
		for (Figures figures : all) {
			double error = value.applyAsDouble(figures) - start - slope * size.applyAsDouble(figures);
			residual += error * error;
		}
		System.out.printf("fit %s: %.6g + %.6g * size, residual %.3g (root mean square)%n", title, start, slope,
				Math.sqrt(residual / all.size()));
	}

}
