package org.masticshelf.ctl.tables;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.masticshelf.ctl.CommandFailure;
import org.masticshelf.kernel.configuration.Mistake;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pages;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;

/**
 * A file with tables.
 * <p>
 * Stateless and safe for use by several threads.
 */
final class TablesFile {

	private TablesFile() {
	}

	/**
	 * Reads and validates a file.
	 * @param file the path of the file
	 * @return the tables or all their mistakes
	 * @throws CommandFailure if the file cannot be read
	 */
	static TablesJson.Result read(String file) {
		try {
			return withPagesChecked(TablesJson.parse(Files.readString(Path.of(file))));
		}
		catch (NoSuchFileException ex) {
			throw new CommandFailure("unreadable", file + ": there is no such file");
		}
		catch (IOException ex) {
			throw new CommandFailure("unreadable", file + ": " + ex.getMessage());
		}
	}

	/**
	 * Joins the tables of a file with the keys in force. A key in force stays as it is,
	 * so that an old file never brings a withdrawn key back; the keys of an organisation
	 * that the file leaves out are dropped with it.
	 * @param fromFile the tables of the file
	 * @param inForce the keys in force
	 * @return the tables to apply
	 */
	static Tables withKeysInForce(Tables fromFile, List<OrganisationKey> inForce) {
		Set<QualifiedName> organisations = new HashSet<>();
		fromFile.organisations().stream().map(Organisation::name).forEach(organisations::add);
		Map<String, OrganisationKey> keys = new LinkedHashMap<>();
		fromFile.keys().forEach((key) -> keys.put(key.digest(), key));
		inForce.stream()
			.filter((key) -> organisations.contains(key.organisation()))
			.forEach((key) -> keys.put(key.digest(), key));
		return new Tables(fromFile.routes(), fromFile.pools(), fromFile.organisations(),
				new ArrayList<>(keys.values()));
	}

	private static TablesJson.Result withPagesChecked(TablesJson.Result result) {
		if (result instanceof TablesJson.Result.Valid valid) {
			List<Mistake> mistakes = Pages.of(valid.tables()).findMistakes();
			return mistakes.isEmpty() ? valid : new TablesJson.Result.Invalid(mistakes);
		}
		return result;
	}

}
