package org.masticshelf.ctl;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.configuration.TablesJson;

/**
 * The committed samples, and random damage to them.
 */
class SampleTests {

	private static final List<String> DAMAGE = List.of("", "null", "\"\"", "{", "}", "[", "]", "0", "-1", "1e999",
			"true", ",", "\u0000", "\"name\" : 5,", "\"x\" : {", "9999999999999999999999");

	@TempDir
	Path folder = Path.of(".");

	@ParameterizedTest
	@CsvSource({ "bengal-east, 65, 75", "sofia, 70, 65" })
	void hasTheSizeOfTheDeployment(String deployment, int models, int adapters) throws Exception {
		Tables tables = read(deployment);
		List<Pool.Model> allModels = tables.pools().stream().flatMap((pool) -> pool.models().stream()).toList();
		Truth.assertThat(allModels).hasSize(models);
		Truth.assertThat(allModels.stream().mapToInt((model) -> model.adapters().size()).sum()).isEqualTo(adapters);
		Truth.assertThat(endpoints(tables, Route.Kind.MODEL)).isEqualTo(8);
		Truth.assertThat(endpoints(tables, Route.Kind.PLAIN)).isEqualTo(3);
		Truth.assertThat(tables.organisations()).hasSize(5);
		Set<String> domains = new HashSet<>();
		tables.pools().forEach((pool) -> pool.endpoints().forEach((each) -> domains.add(each.failureDomain())));
		Truth.assertThat(domains).hasSize(3);
	}

	@ParameterizedTest
	@ValueSource(strings = { "bengal-east", "sofia" })
	void namesClashAndRoutesOfEachKindExist(String deployment) throws Exception {
		Tables tables = read(deployment);
		long names = tables.routes().stream().map((route) -> route.name().name()).distinct().count();
		Truth.assertThat(names).isLessThan(tables.routes().size());
		Truth.assertThat(tables.routes().stream().anyMatch((route) -> route.access() == Route.Access.OPEN)).isTrue();
		Truth.assertThat(tables.routes().stream().anyMatch((route) -> !route.idempotent())).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "bengal-east", "sofia" })
	void committedSampleIsWhatTheToolWrites(String deployment) throws Exception {
		Tool.runAlone("sample --deployment " + deployment + " --output " + this.folder);
		Truth.assertThat(Files.readString(this.folder.resolve("tables.json")))
			.isEqualTo(Files.readString(fileOf(deployment)));
	}

	@Property(tries = 300, seed = "21")
	void damagedTablesAreValidOrNameTheirMistakes(@ForAll @IntRange(max = 40_000) int position,
			@ForAll @IntRange(max = 40) int length, @ForAll @IntRange(max = 15) int damage) throws Exception {
		String text = Files.readString(fileOf("sofia"));
		String damaged = text.substring(0, position) + DAMAGE.get(damage) + text.substring(position + length);
		if (TablesJson.parse(damaged) instanceof TablesJson.Result.Invalid invalid) {
			Truth.assertThat(invalid.mistakes()).isNotEmpty();
			invalid.mistakes().forEach((mistake) -> Truth.assertThat(mistake.path()).startsWith("$"));
		}
	}

	private static long endpoints(Tables tables, Route.Kind kind) {
		return tables.pools()
			.stream()
			.filter((pool) -> pool.kind() == kind)
			.mapToLong((pool) -> pool.endpoints().size())
			.sum();
	}

	private static Path fileOf(String deployment) {
		return Path.of("..", "samples", deployment, "tables.json");
	}

	private static Tables read(String deployment) throws Exception {
		TablesJson.Result result = TablesJson.parse(Files.readString(fileOf(deployment)));
		if (result instanceof TablesJson.Result.Valid valid) {
			return valid.tables();
		}
		throw new AssertionError("expected valid tables but saw " + result);
	}

}
