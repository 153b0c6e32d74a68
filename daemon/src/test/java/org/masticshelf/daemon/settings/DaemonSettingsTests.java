package org.masticshelf.daemon.settings;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.transport.settings.SettingsException;
import org.masticshelf.transport.settings.SettingsReader;

class DaemonSettingsTests {

	private static final String VALID = """
			{"instance": "entry-1", "failureDomain": "east-a", "failureDomains": ["east-a", "east-b"],
			"callerListener": "127.0.0.1:8080", "operatorListener": "127.0.0.1:8081",
			"controlListener": "127.0.0.1:8082", "keyValueService": "etcd://127.0.0.1:2379",
			"instanceList": "instances+http://127.0.0.1:2380", "ioThreads": 2}""";

	@Test
	void readsValidSettings() {
		DaemonSettings settings = DaemonSettings.read(SettingsReader.of("file", VALID));
		Truth.assertThat(settings.limits().ioThreads()).isEqualTo(2);
		Truth.assertThat(settings.seedPeers()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = {
			"\"instance\": \"entry-1\"|\"instance\": 5|file: $.instance: must be a text that is not blank",
			"\"instance\"|\"instanec\"|file: $.instance: missing",
			"\"instance\"|\"instanec\"|file: $.instanec: unknown field",
			"127.0.0.1:8080|localhost:8080|file: $.callerListener: 'localhost:8080' must be an IP number and a port, for example 127.0.0.1:8080",
			"127.0.0.1:8080|127.0.0.1:99999|file: $.callerListener: '127.0.0.1:99999' must be an IP number and a port, for example 127.0.0.1:8080",
			"\"ioThreads\": 2|\"ioThreads\": 0|file: $.ioThreads: 0 is out of range, must be from 1 to 256",
			"\"ioThreads\": 2|\"ioThreads\": 1.5|file: $.ioThreads: must be a whole number",
			"[\"east-a\", \"east-b\"]|[]|file: $.failureDomains: must be a list of at least one text",
			"[\"east-a\", \"east-b\"]|[\"x\"]|file: $.failureDomain: 'east-a' is not among failureDomains",
			"etcd://|//|file: $.keyValueService: '//127.0.0.1:2379' must begin with a scheme, for example etcd://127.0.0.1:2379" })
	void reportsMistake(String part, String replacement, String mistake) {
		Truth.assertThat(mistakesOf(VALID.replace(part, replacement))).contains(mistake);
	}

	@Test
	void reportsAllMistakesAtOnce() {
		Truth.assertThat(mistakesOf("{\"surplus\": 1}").size()).isAtLeast(8);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = { "[]|file: $: must be a JSON object", "{|line 1" })
	void reportsMalformedFile(String text, String part) {
		Truth.assertThat(mistakesOf(text).getFirst()).contains(part);
	}

	private static List<String> mistakesOf(String text) {
		try {
			DaemonSettings.read(SettingsReader.of("file", text));
			return List.of();
		}
		catch (SettingsException ex) {
			return ex.errors();
		}
	}

}
