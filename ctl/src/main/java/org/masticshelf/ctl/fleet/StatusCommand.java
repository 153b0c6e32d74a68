package org.masticshelf.ctl.fleet;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.ctl.CommandFailure;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code status}: which daemons run which revision. Succeeds if all answer,
 * and the key-value service too if one is named.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Show which daemons run which revision")
public final class StatusCommand implements CtlCommand {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public Report run(Session session) {
		List<DaemonStatus> statuses = session.daemons().statuses();
		ObjectNode json = Json.mapper().createObjectNode();
		List<String> lines = new ArrayList<>();
		boolean known = !session.hasKeyValue() || addAccepted(session, json, lines);
		ArrayNode array = json.putArray("daemons");
		for (DaemonStatus status : statuses) {
			ObjectNode each = array.addObject().put("address", status.address());
			if (status.answer() != null) {
				each.set("status", status.answer());
			}
			else {
				each.put("failure", status.failure());
			}
			lines.add(status.toLine());
		}
		boolean allAnswered = statuses.stream().allMatch((status) -> status.answer() != null);
		return new Report(known && allAnswered, lines, json);
	}

	private static boolean addAccepted(Session session, ObjectNode json, List<String> lines) {
		try {
			long revision = session.read().head().revision();
			json.put("acceptedRevision", revision);
			lines.add("accepted revision " + revision);
			return true;
		}
		catch (CommandFailure ex) {
			json.putNull("acceptedRevision");
			lines.add("accepted revision unknown: " + ex.getMessage());
			return false;
		}
	}

}
