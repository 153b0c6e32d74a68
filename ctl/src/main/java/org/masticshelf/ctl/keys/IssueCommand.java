package org.masticshelf.ctl.keys;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.ctl.ChangeReport;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.ctl.fleet.Confirmation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code keys issue}: makes a key, prints it once and stores its digest.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Make a key for an organisation and print it once")
public final class IssueCommand implements CtlCommand {

	@Parameter(names = "--organisation", required = true, description = "The organisation, as workshop/name")
	private String organisation = "";

	@Parameter(names = "--expires-in", description = "How long the key is valid, for example 12h or 30d")
	private @Nullable String life;

	@Override
	public String name() {
		return "keys issue";
	}

	@Override
	public Report run(Session session) {
		QualifiedName owner = KeyText.organisation(this.organisation);
		long expiresAt = (this.life != null) ? session.time().instant().plus(KeyText.life(this.life)).getEpochSecond()
				: 0;
		String key = KeyText.newKey(new SecureRandom());
		OrganisationKey row = new OrganisationKey(OrganisationKey.digestOf(key), owner, expiresAt, false);
		ConfigurationWriter.Result result = session.await(session.writer()
			.changeKeys((keys) -> with(keys, row), session.daemons().highestRevision(),
					"key " + row.digest().substring(0, WithdrawCommand.SHORTEST_DIGEST) + " issued to " + owner));
		if (result instanceof ConfigurationWriter.Result.Accepted accepted) {
			return issued(key, row, session.daemons().await(accepted.revision()));
		}
		return ChangeReport.refused(result, "keys of " + owner);
	}

	private static List<OrganisationKey> with(List<OrganisationKey> keys, OrganisationKey row) {
		List<OrganisationKey> extended = new ArrayList<>(keys);
		extended.add(row);
		return extended;
	}

	private static Report issued(String key, OrganisationKey row, Confirmation confirmation) {
		ObjectNode json = Json.mapper().createObjectNode().put("key", key).put("digest", row.digest());
		Report report = ChangeReport.accepted(confirmation, json, List.of("key " + key, "digest " + row.digest()));
		return Report.success(report.json(), report.lines());
	}

}
