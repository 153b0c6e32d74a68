package org.masticshelf.ctl.tables;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.control.configuration.StoredConfiguration;
import org.masticshelf.ctl.ChangeReport;
import org.masticshelf.ctl.CtlCommand;
import org.masticshelf.ctl.Report;
import org.masticshelf.ctl.Session;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;
import org.masticshelf.transport.json.Json;

/**
 * The command {@code tables apply}: replaces routes, pools and organisations by those of
 * a file. Keys stay as they are in force.
 * <p>
 * Used by one thread.
 */
@Parameters(commandDescription = "Replace routes, pools and organisations by those of a file")
public final class ApplyCommand implements CtlCommand {

	@Parameter(description = "FILE", required = true)
	private String file = "";

	@Parameter(names = "--note", description = "Why the tables are changed")
	private String note = "";

	@Parameter(names = "--expect-revision", description = "Refuse unless this revision is the newest")
	private @Nullable Long expectedRevision;

	@Override
	public String name() {
		return "tables apply";
	}

	@Override
	public Report run(Session session) {
		return switch (TablesFile.read(this.file)) {
			case TablesJson.Result.Invalid invalid -> ChangeReport.mistakes(invalid.mistakes(), this.file);
			case TablesJson.Result.Valid valid -> apply(session, valid.tables());
		};
	}

	private Report apply(Session session, Tables fromFile) {
		StoredConfiguration current = session.read();
		long revision = current.head().revision();
		long highest = session.daemons().highestRevision();
		if (highest > revision) {
			return Report.failure("behind", List.of("the key-value service holds revision " + revision
					+ " but a daemon runs revision " + highest + "; nothing was changed"));
		}
		Tables tables = TablesFile.withKeysInForce(fromFile, current.pages().toTables().keys());
		long expected = (this.expectedRevision != null) ? this.expectedRevision : revision;
		ConfigurationWriter.Result result = session.await(session.writer().apply(tables, expected, this.note));
		if (result instanceof ConfigurationWriter.Result.Accepted accepted) {
			return accepted(session, accepted.revision());
		}
		return ChangeReport.refused(result, this.file);
	}

	private Report accepted(Session session, long revision) {
		Report report = ChangeReport.accepted(session.daemons().await(revision), Json.mapper().createObjectNode(),
				List.of());
		boolean unasked = session.daemons().isEmpty();
		return unasked ? Report.success(report.json(), report.lines()) : report;
	}

}
