package org.masticshelf.bench.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.masticshelf.bench.BenchCommand;

/**
 * Replays a trace through masticshelf's decisions and through the baseline.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "replay a trace in virtual time beside a baseline")
public final class ReplayCommand implements BenchCommand {

	@Parameter(names = "--deployment", description = "bengal-east or sofia")
	private String deployment = "bengal-east";

	@Parameter(names = "--seed", description = "the seed of the trace that is made")
	private long seed = 1;

	@Parameter(names = "--trace", description = "a recorded trace to replay instead of making one")
	private @Nullable String trace;

	@Parameter(names = "--output", description = "the directory for trace, JSON report and plot")
	private String output = "target/replay";

	@Override
	public String name() {
		return "replay";
	}

	@Override
	public int run() throws IOException {
		Path directory = Path.of(this.output);
		Files.createDirectories(directory);
		Trace replayed = (this.trace != null) ? Trace.read(Path.of(this.trace))
				: new TraceMaker(Deployment.of(this.deployment), this.seed).make();
		String title = replayed.header().deployment();
		replayed.write(directory.resolve(title + ".trace.jsonl"));
		ReplayReport report = replay(replayed);
		report.print(System.out);
		report.writeJson(directory.resolve(title + ".json"));
		plot(report, directory.resolve(title + ".png"));
		return report.expectations().stream().allMatch(Expectation::met) ? 0 : 1;
	}

	static ReplayReport replay(Trace trace) {
		Measures own = new Replay(trace, MasticshelfSystem::new).run();
		Measures baseline = new Replay(trace, BaselineSystem::new).run();
		return new ReplayReport(trace.header().deployment(), trace.header().seed(), List.of(own, baseline),
				Expectation.judge(own, baseline));
	}

	// A machine without fonts cannot draw; the table and the JSON report stand all the
	// same.
	private static void plot(ReplayReport report, Path file) {
		System.setProperty("java.awt.headless", "true");
		try {
			report.writePlot(file);
		}
		catch (IOException | LinkageError | RuntimeException ex) {
			System.out.println("no plot was drawn: " + ex);
		}
	}

}
