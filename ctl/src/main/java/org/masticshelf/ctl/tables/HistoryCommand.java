package org.masticshelf.ctl.tables;

import java.util.List;

import com.beust.jcommander.Parameters;

import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code tables history}: the latest accepted changes, the newest first.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Show the latest accepted changes")
public final class HistoryCommand implements CtlCommand {

	@Override
	public String name() {
		return "tables history";
	}

	@Override
	public Report run(Session session) {
		List<Head> history = session.await(session.writer().history());
		List<String> lines = history.stream()
			.map((head) -> "revision " + head.revision() + " by " + head.author() + ": " + head.note())
			.toList();
		return Report.success(Json.mapper().valueToTree(history), lines);
	}

}
