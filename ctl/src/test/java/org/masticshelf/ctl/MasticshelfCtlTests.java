package org.masticshelf.ctl;

import java.nio.file.Files;
import java.nio.file.Path;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.standins.keyvalue.KeyValueCall;
import org.masticshelf.transport.json.Json;

class MasticshelfCtlTests {

	private static final Path SAMPLE = Path.of("..", "samples", "sofia", "tables.json");

	private static final String APPLY = "tables apply " + SAMPLE;

	private static final String ISSUE = "keys issue --organisation monogram/hotels --json";

	private final Tool tool = new Tool();

	@TempDir
	Path folder = Path.of(".");

	@BeforeEach
	void requireSample() {
		Truth.assertThat(Files.exists(SAMPLE)).isTrue();
	}

	@AfterEach
	void closeTool() {
		this.tool.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "``|2|tables apply", "--help|0|tables apply", "tables apply --help|0|--expect-revision",
					"--version|0|masticshelfctl", "nonsense|2|nonsense", "tables|2|tables apply",
					"tables show|2|--key-value", "tables show --key-value nothing://x|2|nothing",
					"keys withdraw --digest 0123 --key-value etcd://127.0.0.1:9|2|8 digits",
					"keys issue --organisation hotels --key-value etcd://127.0.0.1:9|2|workshop/name",
					"keys issue --organisation a/b --expires-in 3 --key-value etcd://127.0.0.1:9|2|30d",
					"tables validate no-such-file|1|no such file", "sample --deployment x --output y|2|bengal-east",
					"tables show --settings no-such-file|2|cannot be read", "explain --route a/b|1|no daemon was named",
					"status --key-value etcd://127.0.0.1:9|1|accepted revision unknown",
					"tables show --key-value etcd://127.0.0.1:9|1|no answer" })
	void exitStatusTellsWhatHappened(String line, int status, String words) {
		Tool.Run run = Tool.runAlone(line);
		Truth.assertThat(run.output() + run.errors()).contains(words);
		Truth.assertThat(run.status()).isEqualTo(status);
	}

	@Test
	@Tag("known-red")
	void appliesAndShowsTables() throws Exception {
		Truth.assertThat(this.tool.run(APPLY + " --note first").status()).isEqualTo(0);
		Truth.assertThat(this.tool.run("tables show --json").json().path("organisations").size()).isEqualTo(5);
		Truth.assertThat(this.tool.run("tables history").output()).isEqualTo("revision 1 by tester: first\n");
		Truth.assertThat(this.tool.run("tables diff " + SAMPLE).output()).isEqualTo("no difference\n");
	}

	@Test
	void settingsFileNamesTheService() throws Exception {
		Path settings = this.folder.resolve("settings.json");
		Files.writeString(settings, "{\"keyValueService\": 5, \"demons\": []}");
		Tool.Run run = Tool.runAlone("tables show --settings " + settings);
		Truth.assertThat(run.errors()).contains("settings.json: $.keyValueService");
		Truth.assertThat(run.errors()).contains("settings.json: $.demons: unknown field");
	}

	@Test
	void slowerOperatorGetsConflict() {
		this.tool.run(APPLY);
		this.tool.run(ISSUE);
		Tool.Run run = this.tool.run(APPLY + " --expect-revision 1");
		Truth.assertThat(run.status()).isEqualTo(1);
		Truth.assertThat(run.errors()).contains("conflict: revision 2 by tester");
	}

	@Test
	void namesAllMistakesAtOnce() throws Exception {
		String text = Files.readString(SAMPLE)
			.replaceFirst("\"slots\" : 16", "\"slots\" : 0")
			.replaceFirst("\"pool\" : \"monogram/models\"", "\"pool\" : \"monogram/absent\"")
			.replace("\"name\" : \"monogram/schools\"", "\"name\" : \"monogram/hotels\"");
		Path file = Files.writeString(this.folder.resolve("tables.json"), text);
		Tool.Run run = this.tool.run("tables apply " + file);
		Truth.assertThat(run.status()).isEqualTo(1);
		Truth.assertThat(run.errors().lines().toList()).hasSize(3);
		Truth.assertThat(run.errors()).contains(file + ": $.routes[0].pool: there is no pool monogram/absent");
		Truth.assertThat(run.errors()).contains("organisation monogram/hotels stands twice");
		Truth.assertThat(run.errors()).contains("slots: has to be above 0");
		Truth.assertThat(this.tool.service.count(KeyValueCall.TRANSACT)).isEqualTo(0);
	}

	@Test
	void refusesPageThatTheServiceCannotHold() throws Exception {
		StringBuilder adapters = new StringBuilder();
		for (int number = 0; number < 20_000; number++) {
			adapters.append("{\"name\":\"added-").append(number).append("-xxxxxxxxxxxxxxxxxxxx\",\"memoryBytes\":1},");
		}
		String text = Files.readString(SAMPLE)
			.replaceFirst("\"adapters\" : \\[ \\{", "\"adapters\" : [ " + adapters + "{");
		Path file = Files.writeString(this.folder.resolve("tables.json"), text);
		Tool.Run run = this.tool.run("tables validate " + file);
		Truth.assertThat(run.status()).isEqualTo(1);
		Truth.assertThat(run.errors()).containsMatch("tables.json: .*bytes, more than 1000000, and cannot be split");
	}

	@Test
	void storesDigestsOnly() {
		this.tool.run(APPLY);
		String key = this.tool.run(ISSUE).json().path("key").asText();
		Truth.assertThat(key.length()).isAtLeast(40);
		StringBuilder stored = new StringBuilder();
		this.tool.service.snapshotState().list("").forEach(stored::append);
		Truth.assertThat(stored.toString()).doesNotContain(key);
		Truth.assertThat(this.tool.run("keys list").output()).doesNotContain(key);
	}

	@Test
	void keyExpiresWhenAsked() {
		this.tool.run(APPLY);
		this.tool.run(ISSUE + " --expires-in 2d");
		Truth.assertThat(this.tool.run("keys list").output()).contains("valid until 2026-12-03T00:00:00Z");
	}

	@ParameterizedTest
	@Tag("known-red")
	@CsvSource({ "abc, '', 0, in force", "ab, '', 0, in force", "a, '', 1, not yet in force",
			"abc, a, 1, not yet in force", "'', abc, 1, not yet in force", "'', '', 1, no daemon was named" })
	void withdrawalSucceedsOnceInForceInAMajority(String currentIn, String laggingIn, int status, String words) {
		this.tool.run(APPLY);
		String digest = this.tool.run(ISSUE).json().path("digest").asText();
		currentIn.chars()
			.forEach((domain) -> this.tool.withDaemon(Character.toString(domain), this.tool::acceptedRevision));
		laggingIn.chars().forEach((domain) -> this.tool.withDaemon(Character.toString(domain), () -> 2));
		Tool.Run run = this.tool.run("keys withdraw --digest " + digest.substring(0, 12));
		Truth.assertThat(run.output() + run.errors()).contains("accepted as revision 3, ");
		Truth.assertThat(run.output() + run.errors()).contains(words);
		Truth.assertThat(run.status()).isEqualTo(status);
	}

	@Test
	@Tag("known-red")
	void oldFileDoesNotBringWithdrawnKeyBack() throws Exception {
		this.tool.run(APPLY);
		String digest = this.tool.run(ISSUE).json().path("digest").asText();
		Path earlier = Files.write(this.folder.resolve("tables.json"),
				Json.toBytes(this.tool.run("tables show --json").json()));
		this.tool.run("keys withdraw --digest " + digest);
		this.tool.run("tables apply " + earlier);
		Truth.assertThat(this.tool.run("keys list").output()).isEqualTo(digest + " monogram/hotels withdrawn\n");
	}

	@Test
	void refusesChangeBelowRevisionInForce() {
		this.tool.withDaemon("a", () -> 9);
		Tool.Run run = this.tool.run(APPLY);
		Truth.assertThat(run.status()).isEqualTo(1);
		Truth.assertThat(run.errors()).contains("a daemon runs revision 9");
	}

	@Test
	void lostAnswerIsNotReportedAsRefusal() {
		this.tool.service.faults().loseNextAnswers(KeyValueCall.TRANSACT, 1);
		Truth.assertThat(this.tool.run(APPLY).status()).isEqualTo(0);
		Truth.assertThat(this.tool.run("tables history").output().lines().toList()).hasSize(1);
	}

	@Test
	void statusNamesSilentDaemons() {
		this.tool.withDaemon("a", () -> 4);
		Tool.Run run = this.tool.run("status --daemon 127.0.0.1:9");
		Truth.assertThat(run.status()).isEqualTo(1);
		Truth.assertThat(run.errors()).contains("revision=4");
		Truth.assertThat(run.errors()).contains("127.0.0.1:9 no answer");
	}

	@Test
	void explainShowsTheAnswerOfADaemon() {
		this.tool.withDaemon("a", () -> 4);
		Truth.assertThat(this.tool.run("explain --route monogram/stock").output()).isEqualTo("route: monogram/stock\n");
	}

}
