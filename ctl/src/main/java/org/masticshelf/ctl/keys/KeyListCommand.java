package org.masticshelf.ctl.keys;

import java.util.List;

import com.beust.jcommander.Parameters;

import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code keys list}: digests, never keys.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "List the digests of all keys")
public final class KeyListCommand implements CtlCommand {

	@Override
	public String name() {
		return "keys list";
	}

	@Override
	public Report run(Session session) {
		List<OrganisationKey> keys = session.read().pages().toTables().keys();
		List<String> lines = keys.stream().map((key) -> KeyText.line(key, session.time().instant())).toList();
		return Report.success(Json.mapper().valueToTree(keys), lines);
	}

}
