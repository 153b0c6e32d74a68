package org.masticshelf.ctl.tables;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.masticshelf.ctl.ChangeReport;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesDifference;
import org.masticshelf.kernel.configuration.TablesJson;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code tables diff}: what applying a file would change.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Show what applying a file would change")
public final class DifferenceCommand implements CtlCommand {

	@Parameter(description = "FILE", required = true)
	private String file = "";

	@Override
	public String name() {
		return "tables diff";
	}

	@Override
	public Report run(Session session) {
		return switch (TablesFile.read(this.file)) {
			case TablesJson.Result.Invalid invalid -> ChangeReport.mistakes(invalid.mistakes(), this.file);
			case TablesJson.Result.Valid valid -> compare(session, valid.tables());
		};
	}

	private static Report compare(Session session, Tables fromFile) {
		Tables before = session.read().pages().toTables();
		Tables after = Pages.of(TablesFile.withKeysInForce(fromFile, before.keys())).toTables();
		TablesDifference difference = TablesDifference.between(before, after);
		List<String> lines = difference.isEmpty() ? List.of("no difference")
				: difference.changes().stream().map(DifferenceCommand::line).toList();
		return Report.success(Json.mapper().valueToTree(difference), lines);
	}

	private static String line(TablesDifference.Change change) {
		String sign = switch (change.kind()) {
			case ADDED -> "+";
			case REMOVED -> "-";
			case CHANGED -> "~";
		};
		return sign + " " + change.table() + " " + change.name();
	}

}
