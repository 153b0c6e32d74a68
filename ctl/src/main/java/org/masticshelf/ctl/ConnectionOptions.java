package org.masticshelf.ctl;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

import org.masticshelf.transport.settings.SettingsException;
import org.masticshelf.transport.settings.SettingsReader;

/**
 * Where the key-value service and the daemons are, from the command line or else from a
 * settings file, and how to answer.
 * <p>
 * Used by one thread.
 */
public final class ConnectionOptions {

	@Parameter(names = "--settings", description = "JSON file with keyValueService, daemons and author")
	private @Nullable String settings;

	@Parameter(names = "--key-value", description = "Key-value service, for example etcd://10.0.0.1:2379")
	private @Nullable String keyValue;

	@Parameter(names = "--daemon", description = "IP number and port of a daemon's control listener, repeated")
	private List<String> daemons = new ArrayList<>();

	@Parameter(names = "--author", description = "Who makes the change")
	private @Nullable String author;

	@Parameter(names = "--json", description = "Answer in JSON")
	private boolean json;

	@Parameter(names = "--wait-seconds", description = "How long to wait until a change is in force")
	private int waitSeconds = 10;

	/**
	 * Fills in what the command line leaves open from the settings file.
	 * @throws ParameterException with every mistake of the file
	 */
	void readSettings() {
		if (this.settings == null) {
			return;
		}
		try {
			SettingsReader reader = SettingsReader.of(Path.of(this.settings));
			String location = reader.uri("keyValueService").toString();
			List<String> addresses = reader.addresses("daemons", false);
			String name = reader.string("author", System.getProperty("user.name"));
			reader.finish();
			this.keyValue = (this.keyValue != null) ? this.keyValue : location;
			this.author = (this.author != null) ? this.author : name;
			this.daemons = this.daemons.isEmpty() ? addresses : this.daemons;
		}
		catch (SettingsException ex) {
			throw new ParameterException(String.join(System.lineSeparator(), ex.errors()));
		}
	}

	/**
	 * Returns whether to answer in JSON.
	 * @return whether the answer is for a program
	 */
	boolean isJson() {
		return this.json;
	}

	/**
	 * Returns whether a key-value service is named.
	 * @return whether there is one
	 */
	boolean hasKeyValue() {
		return this.keyValue != null;
	}

	/**
	 * Returns the location of the key-value service.
	 * @return the location
	 * @throws ParameterException if none is named
	 */
	URI keyValue() {
		if (this.keyValue == null) {
			throw new ParameterException("--key-value or --settings is needed");
		}
		try {
			return URI.create(this.keyValue);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException("malformed location '" + this.keyValue + "'");
		}
	}

	/**
	 * Returns the daemons to ask.
	 * @return the IP numbers and ports of their control listeners
	 */
	List<String> daemons() {
		return List.copyOf(this.daemons);
	}

	/**
	 * Returns who makes the change.
	 * @return the author
	 */
	String author() {
		return (this.author != null) ? this.author : System.getProperty("user.name", "unknown");
	}

	/**
	 * Returns how long to wait until a change is in force.
	 * @return the time in seconds
	 */
	int waitSeconds() {
		return this.waitSeconds;
	}

}
