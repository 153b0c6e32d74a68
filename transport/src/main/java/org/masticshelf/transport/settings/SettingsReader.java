package org.masticshelf.transport.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.transport.json.Json;

/**
 * Reads the fields of a JSON settings file and collects all errors before it fails.
 * <p>
 * Invariant: after {@link #finish()} has returned, every field read was present or had a
 * default and had the right type and range, and the file had no other field. Not
 * thread-safe.
 */
public final class SettingsReader {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

	private static final int HIGHEST_PORT = 65535;

	private static final String PLACEHOLDER_ADDRESS = "0.0.0.0:0";

	private final String file;

	private final ObjectNode root;

	private final List<String> mistakes = new ArrayList<>();

	private final Set<String> requestedFields = new HashSet<>();

	private SettingsReader(String file, ObjectNode root) {
		this.file = file;
		this.root = root;
	}

	/**
	 * Opens a settings file for reading.
	 * @param file the path of the file
	 * @return the reader
	 * @throws SettingsException if the file cannot be read or is not a JSON object
	 */
	public static SettingsReader of(Path file) {
		try {
			return of(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(file + ": cannot be read: " + ex.getMessage()));
		}
	}

	/**
	 * Opens the text of a settings file for reading.
	 * @param file the name of the file, for error messages
	 * @param text the content of the file
	 * @return the reader
	 * @throws SettingsException if the text is not a JSON object
	 */
	public static SettingsReader of(String file, String text) {
		try {
			JsonNode tree = Json.mapper().readTree(text);
			if (tree instanceof ObjectNode object) {
				return new SettingsReader(file, object);
			}
			throw new SettingsException(List.of(file + ": $: must be a JSON object"));
		}
		catch (JsonProcessingException ex) {
			throw new SettingsException(List.of(file + ": $: malformed JSON at line " + ex.getLocation().getLineNr()
					+ ", column " + ex.getLocation().getColumnNr() + ": " + ex.getOriginalMessage()));
		}
	}

	/**
	 * Reads a string that is not blank.
	 * @param name the name of the field
	 * @param defaultValue the default, or {@code null} if the field is required
	 * @return the string
	 */
	public String string(String name, @Nullable String defaultValue) {
		JsonNode node = field(name, defaultValue != null);
		if (node == null) {
			return (defaultValue != null) ? defaultValue : "";
		}
		if (!node.isTextual() || node.asText().isBlank()) {
			addError(name, "must be a text that is not blank");
			return "";
		}
		return node.asText();
	}

	/**
	 * Reads an address, which is an IP address and a port.
	 * @param name the name of the field
	 * @return the address
	 */
	public String address(String name) {
		String text = string(name, null);
		if (text.isEmpty()) {
			return PLACEHOLDER_ADDRESS;
		}
		return isAddress(text) ? text : rejectAddress(name, text);
	}

	private String rejectAddress(String path, String text) {
		addError(path, "'" + text + "' must be an IP number and a port, for example 127.0.0.1:8080");
		return PLACEHOLDER_ADDRESS;
	}

	private static boolean isAddress(String text) {
		if (!ADDRESS.matcher(text).matches()) {
			return false;
		}
		return Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) <= HIGHEST_PORT;
	}

	/**
	 * Reads the URI of an external system.
	 * @param name the name of the field
	 * @return the URI
	 */
	public URI uri(String name) {
		String text = string(name, null);
		try {
			URI location = URI.create(text);
			if (!text.isEmpty() && location.getScheme() == null) {
				addError(name, "'" + text + "' must begin with a scheme, for example etcd://127.0.0.1:2379");
			}
			return location;
		}
		catch (IllegalArgumentException ex) {
			addError(name, "'" + text + "' is not a location");
			return URI.create("");
		}
	}

	/**
	 * Reads an integer.
	 * @param name the name of the field
	 * @param minimum the smallest allowed value
	 * @param maximum the largest allowed value
	 * @param defaultValue the value if the field is absent
	 * @return the number
	 */
	public long number(String name, long minimum, long maximum, long defaultValue) {
		JsonNode node = field(name, true);
		if (node == null) {
			return defaultValue;
		}
		if (!node.isIntegralNumber() || !node.canConvertToLong()) {
			addError(name, "must be a whole number");
			return defaultValue;
		}
		long value = node.asLong();
		if (value < minimum || value > maximum) {
			addError(name, value + " is out of range, must be from " + minimum + " to " + maximum);
			return defaultValue;
		}
		return value;
	}

	/**
	 * Reads a list of strings.
	 * @param name the name of the field
	 * @param required whether the field must be present and not empty
	 * @return the strings
	 */
	public List<String> strings(String name, boolean required) {
		JsonNode node = field(name, !required);
		if (node == null) {
			return List.of();
		}
		if (!node.isArray() || (required && node.isEmpty())) {
			addError(name, required ? "must be a list of at least one text" : "must be a list of texts");
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		for (int index = 0; index < node.size(); index++) {
			JsonNode item = node.get(index);
			if (!item.isTextual() || item.asText().isBlank()) {
				addError(name + "[" + index + "]", "must be a text that is not blank");
				continue;
			}
			texts.add(item.asText());
		}
		return List.copyOf(texts);
	}

	/**
	 * Reads a list of addresses.
	 * @param name the name of the field
	 * @param required whether the field must be present and not empty
	 * @return the addresses
	 */
	public List<String> addresses(String name, boolean required) {
		List<String> texts = strings(name, required);
		for (int index = 0; index < texts.size(); index++) {
			if (!isAddress(texts.get(index))) {
				rejectAddress(name + "[" + index + "]", texts.get(index));
			}
		}
		return texts;
	}

	/**
	 * Adds an error, for example one that concerns several fields together.
	 * @param path the JSON path without its leading {@code $.}
	 * @param reason what is wrong
	 */
	public void addError(String path, String reason) {
		this.mistakes.add(this.file + ": $." + path + ": " + reason);
	}

	/**
	 * Checks that no error was found and that every field of the file was read.
	 * @throws SettingsException if there was an error or an unknown field
	 */
	public void finish() {
		this.root.fieldNames().forEachRemaining((name) -> {
			if (!this.requestedFields.contains(name)) {
				addError(name, "unknown field");
			}
		});
		if (!this.mistakes.isEmpty()) {
			throw new SettingsException(this.mistakes);
		}
	}

	private @Nullable JsonNode field(String name, boolean optional) {
		this.requestedFields.add(name);
		JsonNode node = this.root.get(name);
		if (node == null && !optional) {
			addError(name, "missing");
		}
		return node;
	}

}
