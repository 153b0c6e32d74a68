package org.masticshelf.ctl;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.ctl.fleet.Confirmation;
import org.masticshelf.kernel.configuration.Mistake;
import org.masticshelf.transport.json.Json;

/**
 * Words the outcome of a change.
 * <p>
 * Stateless and safe for use by several threads.
 */
public final class ChangeReport {

	private ChangeReport() {
	}

	/**
	 * Words a change that did not take effect, or may not have.
	 * @param result the outcome
	 * @param source what holds the mistakes, such as the name of a file
	 * @return the report
	 */
	public static Report refused(ConfigurationWriter.Result result, String source) {
		return switch (result) {
			case ConfigurationWriter.Result.Accepted accepted ->
				throw new IllegalArgumentException("accepted as revision " + accepted.revision());
			case ConfigurationWriter.Result.Conflict conflict ->
				Report.failure("conflict", List.of("conflict: revision " + conflict.revision() + " by "
						+ conflict.author() + " (" + conflict.note() + ") is the newest one; nothing was changed"));
			case ConfigurationWriter.Result.Invalid invalid -> mistakes(invalid.mistakes(), source);
			case ConfigurationWriter.Result.Unavailable unavailable ->
				Report.failure("unavailable", List.of(unavailable.maybeApplied()
						? "the key-value service gave no answer; the change may have been accepted, see tables history"
						: "the key-value service gave no answer; nothing was changed"));
		};
	}

	/**
	 * Words mistakes in tables.
	 * @param mistakes the mistakes
	 * @param source what holds them, such as the name of a file
	 * @return the report
	 */
	public static Report mistakes(List<Mistake> mistakes, String source) {
		return Report.failure("invalid", mistakes.stream().map((mistake) -> source + ": " + mistake).toList());
	}

	/**
	 * Words an accepted change.
	 * @param confirmation where it is in force
	 * @param json the answer for programs, extended by where it is in force
	 * @param lines the answer for people, followed by where it is in force
	 * @return the report, a success only if the change is in force
	 */
	public static Report accepted(Confirmation confirmation, ObjectNode json, List<String> lines) {
		List<String> all = new ArrayList<>(lines);
		all.add(confirmation.toLine());
		json.put("outcome", "accepted").put("revision", confirmation.revision());
		json.put("inForce", confirmation.inForce());
		json.set("missing", Json.mapper().valueToTree(confirmation.missing()));
		return new Report(confirmation.inForce(), all, json);
	}

}
