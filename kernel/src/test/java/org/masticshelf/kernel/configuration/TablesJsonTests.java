package org.masticshelf.kernel.configuration;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TablesJsonTests {

	private static final String VALID = """
			{"routes":[
			  {"name":"sofia/crest","pool":"sofia/engines","kind":"MODEL","model":"proof","adapter":"thread",
			   "access":"KEY","idempotent":true,"defaultDeadlineMilliseconds":1000,"maximumDeadlineMilliseconds":2000},
			  {"name":"sofia/stock","pool":"sofia/stock","kind":"PLAIN","access":"OPEN","idempotent":true,
			   "defaultDeadlineMilliseconds":1000,"maximumDeadlineMilliseconds":2000}],
			 "pools":[
			  {"name":"sofia/engines","kind":"MODEL","store":"sofia","endpoints":[
			    {"identifier":"e1","address":"127.0.0.1:9001","failureDomain":"a","memoryBytes":100,"slots":4,
			     "checksFencing":true},
			    {"identifier":"e2","address":"127.0.0.1:9002","failureDomain":"b","memoryBytes":100,"slots":4,
			     "checksFencing":false}],
			   "models":[{"name":"proof","memoryBytes":60,"maximumReplicas":2,"minimumReplicas":0,
			     "idleMilliseconds":1000,"adapters":[{"name":"thread","memoryBytes":5}]}]},
			  {"name":"sofia/stock","kind":"PLAIN","store":"none","endpoints":[
			    {"identifier":"s1","address":"127.0.0.1:9003","failureDomain":"a","memoryBytes":0,"slots":4,
			     "checksFencing":false}],"models":[]}],
			 "organisations":[{"name":"sofia/clerks","tokensPerSecond":10,"burstTokens":20,"weight":1}],
			 "keys":[{"digest":"%s","organisation":"sofia/clerks","expiresAtEpochSeconds":0,"withdrawn":false}]}
			""".formatted("a".repeat(64));

	@Test
	void acceptsValidTables() {
		Truth.assertThat(TablesJson.parse(VALID)).isInstanceOf(TablesJson.Result.Valid.class);
	}

	@Test
	void readsWhatItRendered() {
		TablesJson.Result.Valid parsed = (TablesJson.Result.Valid) TablesJson.parse(VALID);
		Truth.assertThat(TablesJson.parse(TablesJson.render(parsed.tables()))).isEqualTo(parsed);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			/routes/0/name                        | "sofia/stock"   | $.routes[1].name
			/routes/0/name                        | "Sofia crest"   | $.routes[0].name
			/routes/0/name                        | "bengal/crest"  | $.routes[0].pool
			/routes/0/pool                        | "sofia/none"    | $.routes[0].pool
			/routes/0/model                       | "none"          | $.routes[0].model
			/routes/0/model                       | null            | $.routes[0].model
			/routes/0/adapter                     | "none"          | $.routes[0].adapter
			/routes/0/kind                        | "PLAIN"         | $.routes[0].kind
			/routes/0/kind                        | "OTHER"         | $.routes[0].kind
			/routes/1/model                       | "proof"         | $.routes[1].model
			/routes/0/idempotent                  | null            | $.routes[0].idempotent
			/routes/0/idempotent                  | "yes"           | $.routes[0].idempotent
			/routes/0/misspelt                    | 1               | $.routes[0].misspelt
			/routes/0/defaultDeadlineMilliseconds | 0               | $.routes[0].defaultDeadlineMilliseconds
			/routes/0/defaultDeadlineMilliseconds | 2001            | $.routes[0].defaultDeadlineMilliseconds
			/routes/0/maximumDeadlineMilliseconds | 86400001        | $.routes[0].maximumDeadlineMilliseconds
			/routes/0/maximumDeadlineMilliseconds | 1.5             | $.routes[0].maximumDeadlineMilliseconds
			/pools/1/name                         | "sofia/engines" | $.pools[1].name
			/pools/0/store                        | ""              | $.pools[0].store
			/pools/0/endpoints/1/identifier       | "e1"            | $.pools[0].endpoints[1].identifier
			/pools/1/endpoints/0/identifier       | "e1"            | $.pools[1].endpoints[0].identifier
			/pools/0/endpoints/1/address          | "127.0.0.1:9001"| $.pools[0].endpoints[1].address
			/pools/0/endpoints/1/address          | "host:9001"     | $.pools[0].endpoints[1].address
			/pools/0/endpoints/1/address          | "127.0.0.1"     | $.pools[0].endpoints[1].address
			/pools/0/endpoints/1/address          | "127.0.0.1:70000"| $.pools[0].endpoints[1].address
			/pools/0/endpoints/1/address          | "127.0.0.256:1" | $.pools[0].endpoints[1].address
			/pools/0/endpoints/0/slots            | 0               | $.pools[0].endpoints[0].slots
			/pools/0/endpoints/0/slots            | 3000000000      | $.pools[0].endpoints[0].slots
			/pools/0/endpoints/0/memoryBytes      | 0               | $.pools[0].endpoints[0].memoryBytes
			/pools/0/endpoints/0/failureDomain    | ""              | $.pools[0].endpoints[0].failureDomain
			/pools/0/models/0/memoryBytes         | 101             | $.pools[0].models[0].memoryBytes
			/pools/0/models/0/memoryBytes         | 0               | $.pools[0].models[0].memoryBytes
			/pools/0/models/0/memoryBytes         | 96              | $.pools[0].models[0].adapters[0].memoryBytes
			/pools/0/models/0/maximumReplicas     | 0               | $.pools[0].models[0].maximumReplicas
			/pools/0/models/0/minimumReplicas     | 3               | $.pools[0].models[0].minimumReplicas
			/pools/0/models/0/idleMilliseconds    | 0               | $.pools[0].models[0].idleMilliseconds
			/pools/0/models/0/adapters            | null            | $.pools[0].models[0].adapters
			/pools/0/models/0/adapters            | {}              | $.pools[0].models[0].adapters
			/organisations/0/tokensPerSecond      | 0               | $.organisations[0].tokensPerSecond
			/organisations/0/burstTokens          | 0               | $.organisations[0].burstTokens
			/organisations/0/weight               | 0               | $.organisations[0].weight
			/organisations/0/name                 | "sofia/others"  | $.keys[0].organisation
			/keys/0/digest                        | "secret"        | $.keys[0].digest
			/keys/0/expiresAtEpochSeconds         | -1              | $.keys[0].expiresAtEpochSeconds
			""")
	void findsMistake(String pointer, String value, String path) throws Exception {
		Truth.assertThat(mistakePaths(pointer, value)).contains(path);
	}

	@Test
	void findsAllMistakesAtOnce() {
		String text = VALID.replace("\"weight\":1", "\"weight\":0")
			.replace("\"pool\":\"sofia/engines\"", "\"pool\":\"sofia/x\"");
		TablesJson.Result.Invalid invalid = (TablesJson.Result.Invalid) TablesJson.parse(text);
		Truth.assertThat(invalid.mistakes().stream().map(Mistake::path).toList())
			.containsExactly("$.routes[0].pool", "$.organisations[0].weight");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = { "{", "[]", "null", "`{} {}`", "7" })
	void refusesOtherText(String text) {
		Truth.assertThat(TablesJson.parse(text)).isInstanceOf(TablesJson.Result.Invalid.class);
	}

	private static Iterable<String> mistakePaths(String pointer, String value) throws Exception {
		JsonNode tree = ConfigurationJson.MAPPER.readTree(VALID);
		JsonPointer place = JsonPointer.compile(pointer);
		ContainerNode<?> parent = (ContainerNode<?>) tree.at(place.head());
		((ObjectNode) parent).set(place.last().getMatchingProperty(), ConfigurationJson.MAPPER.readTree(value));
		TablesJson.Result.Invalid invalid = (TablesJson.Result.Invalid) TablesJson.parse(tree);
		return invalid.mistakes().stream().map(Mistake::path).toList();
	}

}
