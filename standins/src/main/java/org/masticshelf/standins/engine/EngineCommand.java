package org.masticshelf.standins.engine;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.masticshelf.standins.StandInCommand;

/**
 * Runs an engine as a process of its own.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Runs a model engine")
public final class EngineCommand implements StandInCommand {

	private static final int DEATH_STATUS = 137;

	@Parameter(names = "--host", description = "IP number to listen on")
	private String host = "127.0.0.1";

	@Parameter(names = "--port", description = "port, 0 for any free one")
	private int port;

	@Parameter(names = "--memory-bytes", description = "memory for models and adapters in bytes")
	private long memoryBytes = 80L << 30;

	@Parameter(names = "--slots", description = "requests that run at once")
	private int slots = 8;

	@Parameter(names = "--token-milliseconds", description = "time for a token")
	private long tokenMilliseconds = 2;

	@Parameter(names = "--checks-fencing", arity = 1, description = "whether old fencing numbers are refused")
	private boolean checksFencing = true;

	@Parameter(names = "--weight-store", description = "IP number and port of the weight store")
	private @Nullable String weightStore;

	@Parameter(names = "--load-milliseconds", description = "time for a load when there is no weight store")
	private long loadMilliseconds = 200;

	@Parameter(names = "--memory-load-milliseconds", description = "time for a load from host memory")
	private long memoryLoadMilliseconds = 20;

	@Parameter(names = "--disk-load-milliseconds", description = "time for a load from disk")
	private long diskLoadMilliseconds = 100;

	@Override
	public String name() {
		return "engine";
	}

	@Override
	public Running start() {
		return EngineStandIn.builder()
			.withAddress(this.host, this.port)
			.withMemory(this.memoryBytes)
			.withSlots(this.slots, this.tokenMilliseconds)
			.withFencing(this.checksFencing)
			.withCacheTimes(this.memoryLoadMilliseconds, this.diskLoadMilliseconds)
			.withLoader(loader())
			.withDeath(() -> Runtime.getRuntime().halt(DEATH_STATUS))
			.start();
	}

	private WeightLoader loader() {
		return (this.weightStore != null) ? new WeightLoader.OfStore(this.weightStore)
				: new WeightLoader.OfDuration(this.loadMilliseconds);
	}

}
