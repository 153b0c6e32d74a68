package org.masticshelf.ctl.fleet;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code explain}: how a daemon would treat a request to a route now.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Show how a daemon would treat a request to a route now")
public final class ExplainCommand implements CtlCommand {

	@Parameter(names = "--route", required = true, description = "The route, as workshop/name")
	private String route = "";

	@Parameter(names = "--organisation", description = "The organisation, as workshop/name")
	private String organisation = "";

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public Report run(Session session) {
		ObjectNode body = Json.mapper().createObjectNode().put("route", this.route);
		if (!this.organisation.isEmpty()) {
			body.put("organisation", this.organisation);
		}
		JsonNode answer = session.daemons().askFirst("explain", body);
		List<String> lines = new ArrayList<>();
		flatten("", answer, lines);
		return Report.success(answer, lines);
	}

	private static void flatten(String path, JsonNode value, List<String> lines) {
		if (value.isValueNode()) {
			lines.add(path + ": " + value.asText());
			return;
		}
		if (value.isArray()) {
			for (int index = 0; index < value.size(); index++) {
				flatten(path + "[" + index + "]", value.get(index), lines);
			}
			return;
		}
		value.properties()
			.forEach((field) -> flatten(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(),
					lines));
	}

}
