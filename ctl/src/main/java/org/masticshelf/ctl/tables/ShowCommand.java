package org.masticshelf.ctl.tables;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameters;

import org.masticshelf.control.configuration.StoredConfiguration;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code tables show}: the newest accepted tables. The JSON answer is a file
 * of tables.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Show the newest accepted tables, with --json as a file of tables")
public final class ShowCommand implements CtlCommand {

	@Override
	public String name() {
		return "tables show";
	}

	@Override
	public Report run(Session session) {
		StoredConfiguration current = session.read();
		Tables tables = current.pages().toTables();
		List<String> lines = new ArrayList<>();
		lines.add("revision " + current.head().revision() + " by " + current.head().author() + ": "
				+ current.head().note());
		tables.routes().forEach((route) -> lines.add(line(route)));
		tables.pools().forEach((pool) -> lines.add(line(pool)));
		tables.organisations().forEach((organisation) -> lines.add(line(organisation)));
		return Report.success(Json.toTree(TablesJson.render(tables).getBytes(StandardCharsets.UTF_8)), lines);
	}

	private static String line(Route route) {
		String target = (route.loadable() != null) ? route.loadable().toString() : route.pool().toString();
		return "route " + route.name() + " " + route.kind() + " to " + target + " access=" + route.access()
				+ " idempotent=" + route.idempotent() + " deadline=" + route.defaultDeadlineMilliseconds() + ".."
				+ route.maximumDeadlineMilliseconds() + "ms";
	}

	private static String line(Pool pool) {
		return "pool " + pool.name() + " " + pool.kind() + " store=" + pool.store() + " endpoints="
				+ pool.endpoints().size() + " models=" + pool.models().size();
	}

	private static String line(Organisation organisation) {
		return "organisation " + organisation.name() + " rate=" + organisation.tokensPerSecond() + " tokens/s burst="
				+ organisation.burstTokens() + " tokens weight=" + organisation.weight();
	}

}
