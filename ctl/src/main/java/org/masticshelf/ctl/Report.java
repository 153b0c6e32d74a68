package org.masticshelf.ctl;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.transport.json.Json;

/**
 * What a command has to say, for people and for programs.
 * <p>
 * Immutable, provided that the JSON value is not changed.
 *
 * @param succeeded whether everything that was asked for was done
 * @param lines the answer for people
 * @param json the answer for programs
 */
public record Report(boolean succeeded, List<String> lines, JsonNode json) {

	/**
	 * Creates a report.
	 */
	public Report {
		lines = List.copyOf(lines);
	}

	/**
	 * Reports a success.
	 * @param json the answer for programs
	 * @param lines the answer for people
	 * @return the report
	 */
	public static Report success(JsonNode json, List<String> lines) {
		return new Report(true, lines, json);
	}

	/**
	 * Reports a failure.
	 * @param outcome the failure in one word, such as {@code conflict}
	 * @param lines what happened and what was not done
	 * @return the report
	 */
	public static Report failure(String outcome, List<String> lines) {
		ObjectNode json = Json.mapper().createObjectNode().put("outcome", outcome);
		lines.forEach(json.putArray("messages")::add);
		return new Report(false, lines, json);
	}

}
