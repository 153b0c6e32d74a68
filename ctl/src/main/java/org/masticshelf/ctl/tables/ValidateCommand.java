package org.masticshelf.ctl.tables;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.ctl.ChangeReport;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code tables validate}: finds all mistakes of a file without a connection.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Find all mistakes of a file of tables")
public final class ValidateCommand implements CtlCommand {

	@Parameter(description = "FILE", required = true)
	private String file = "";

	@Override
	public String name() {
		return "tables validate";
	}

	@Override
	public Report run(Session session) {
		return switch (TablesFile.read(this.file)) {
			case TablesJson.Result.Invalid invalid -> ChangeReport.mistakes(invalid.mistakes(), this.file);
			case TablesJson.Result.Valid valid -> valid(valid.tables());
		};
	}

	private Report valid(Tables tables) {
		ObjectNode json = Json.mapper().createObjectNode().put("outcome", "valid");
		json.put("routes", tables.routes().size());
		json.put("pools", tables.pools().size());
		json.put("organisations", tables.organisations().size());
		return Report.success(json, List.of(this.file + ": valid, " + tables.routes().size() + " routes, "
				+ tables.pools().size() + " pools, " + tables.organisations().size() + " organisations"));
	}

}
