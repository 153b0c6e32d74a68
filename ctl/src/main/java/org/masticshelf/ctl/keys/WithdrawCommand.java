package org.masticshelf.ctl.keys;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.ctl.ChangeReport;
import org.masticshelf.ctl.CommandFailure;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code keys withdraw}. Succeeds only if the withdrawal is in force.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Withdraw a key, and wait until it has stopped working")
public final class WithdrawCommand implements CtlCommand {

	/** The fewest digits of a digest that name a key. */
	static final int SHORTEST_DIGEST = 8;

	@Parameter(names = "--digest", required = true, description = "The first 8 or more digits of the key's digest")
	private String digest = "";

	@Override
	public String name() {
		return "keys withdraw";
	}

	@Override
	public Report run(Session session) {
		if (this.digest.length() < SHORTEST_DIGEST) {
			throw new ParameterException("--digest needs at least " + SHORTEST_DIGEST + " digits");
		}
		OrganisationKey key = find(session.read().pages().toTables().keys());
		ConfigurationWriter.Result result = session.await(session.writer()
			.changeKeys((keys) -> without(keys, key.digest()), session.daemons().highestRevision(),
					"key " + key.digest().substring(0, SHORTEST_DIGEST) + " withdrawn from " + key.organisation()));
		if (result instanceof ConfigurationWriter.Result.Accepted accepted) {
			return ChangeReport.accepted(session.daemons().await(accepted.revision()),
					Json.mapper().createObjectNode().put("digest", key.digest()), List.of("digest " + key.digest()));
		}
		return ChangeReport.refused(result, "keys of " + key.organisation());
	}

	private OrganisationKey find(List<OrganisationKey> keys) {
		List<OrganisationKey> found = keys.stream().filter((key) -> key.digest().startsWith(this.digest)).toList();
		if (found.size() != 1) {
			throw new CommandFailure("unknown",
					found.size() + " keys have a digest that begins with " + this.digest + "; nothing was changed");
		}
		return found.getFirst();
	}

	private static List<OrganisationKey> without(List<OrganisationKey> keys, String digest) {
		return keys.stream()
			.map((key) -> key.digest().equals(digest)
					? new OrganisationKey(key.digest(), key.organisation(), key.expiresAtEpochSeconds(), true) : key)
			.toList();
	}

}
