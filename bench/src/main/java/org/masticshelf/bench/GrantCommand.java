package org.masticshelf.bench;

import com.beust.jcommander.Parameters;

/**
 * The subcommand {@code grants}. Used by one thread.
 */
@Parameters(commandDescription = "Measure wrongful refusals and messages of grants")
public final class GrantCommand implements BenchCommand {

	@Override
	public String name() {
		return "grants";
	}

	@Override
	public int run() {
		GrantBench.main(new String[0]);
		return 0;
	}

}
