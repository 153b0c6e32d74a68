package org.masticshelf.ctl.sample;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.ctl.CommandFailure;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code sample}: writes sample tables, the same at each run.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Write sample tables at the size of a deployment")
public final class SampleCommand implements CtlCommand {

	private static final int HIGHEST_BASE_PORT = 65_000;

	@Parameter(names = "--deployment", required = true, description = "bengal-east or sofia")
	private String deployment = "";

	@Parameter(names = "--output", required = true, description = "Folder that gets tables.json")
	private String output = "";

	@Parameter(names = "--base-port", description = "Port of the first endpoint")
	private int basePort = 9100;

	@Override
	public String name() {
		return "sample";
	}

	@Override
	public Report run(Session session) {
		if (this.basePort < 1 || this.basePort > HIGHEST_BASE_PORT) {
			throw new ParameterException("--base-port has to lie between 1 and " + HIGHEST_BASE_PORT);
		}
		Tables tables = SampleTables.of(deployment(), this.basePort);
		Path file = Path.of(this.output).resolve("tables.json");
		try {
			Files.createDirectories(Path.of(this.output));
			Files.writeString(file, TablesJson.render(tables) + "\n");
		}
		catch (IOException ex) {
			throw new CommandFailure("unwritable", file + ": " + ex.getMessage());
		}
		ObjectNode json = Json.mapper().createObjectNode().put("outcome", "written").put("file", file.toString());
		return Report.success(json, List.of("wrote " + file));
	}

	private SampleDeployment deployment() {
		return switch (this.deployment) {
			case "bengal-east" -> SampleDeployment.BENGAL_EAST;
			case "sofia" -> SampleDeployment.SOFIA;
			default -> throw new ParameterException("--deployment is bengal-east or sofia");
		};
	}

}
