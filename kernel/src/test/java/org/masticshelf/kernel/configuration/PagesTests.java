package org.masticshelf.kernel.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PagesTests {

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 140, 3000 })
	void joinsWhatItCut(int models) {
		Tables tables = GeneratedTables.withModels(models);
		Pages pages = Pages.of(tables);
		List<Page> parsed = pages.byName()
			.values()
			.stream()
			.map((page) -> Page.parse(page.name(), page.text()))
			.toList();
		Truth.assertThat(Pages.collect(parsed).toTables()).isEqualTo(tables);
	}

	@Test
	void keepsPagesSmall() {
		Pages pages = Pages.of(GeneratedTables.withModels(3000));
		Truth.assertThat(pages.byName().values().stream().mapToInt(Page::sizeBytes).max().orElse(0))
			.isAtMost(Page.SPLIT_THRESHOLD_BYTES);
	}

	@Property(tries = 20, seed = "2")
	void ignoresOrderOfRows(@ForAll Random random) {
		Tables tables = GeneratedTables.withModels(200);
		List<Route> routes = new ArrayList<>(tables.routes());
		Collections.shuffle(routes, random);
		Tables shuffled = new Tables(routes, tables.pools(), tables.organisations(), tables.keys());
		Truth.assertThat(Pages.of(shuffled).toManifest()).isEqualTo(Pages.of(tables).toManifest());
	}

	@Property(tries = 20, seed = "3")
	void changesOnePageForOneRow(@ForAll @IntRange(max = 2999) int row) {
		Tables tables = GeneratedTables.withModels(3000);
		List<Route> routes = new ArrayList<>(tables.routes());
		Route old = routes.get(row);
		routes.set(row, new Route(old.name(), old.pool(), old.kind(), old.model(), old.adapter(), old.access(), false,
				old.defaultDeadlineMilliseconds(), old.maximumDeadlineMilliseconds()));
		Manifest before = Pages.of(tables).toManifest();
		Manifest after = Pages.of(new Tables(routes, tables.pools(), tables.organisations(), tables.keys()))
			.toManifest();
		Truth.assertThat(after.differenceFrom(before)).hasSize(1);
	}

	@Property(tries = 100, seed = "4")
	void appliesDifference(@ForAll @IntRange(max = 300) int before, @ForAll @IntRange(max = 300) int after) {
		Manifest earlier = Pages.of(GeneratedTables.withModels(before)).toManifest();
		Manifest later = Pages.of(GeneratedTables.withModels(after)).toManifest();
		Truth.assertThat(earlier.withDifference(later.differenceFrom(earlier))).isEqualTo(later);
	}

	@Test
	void refusesRowLargerThanValue() {
		Pool.Model model = GeneratedTables.withModels(1).pools().get(0).models().get(0);
		List<Pool.Adapter> adapters = new ArrayList<>();
		for (int number = 0; number < 30_000; number++) {
			adapters.add(new Pool.Adapter("adapter-" + number, 10));
		}
		Pool.Model large = new Pool.Model(model.name(), 100, 1, 0, 1000, adapters);
		Pool pool = new Pool(new QualifiedName("sofia", "engines"), Route.Kind.MODEL, "sofia", List.of(),
				List.of(large));
		Tables tables = new Tables(List.of(), List.of(pool), List.of(), List.of());
		Truth.assertThat(Pages.of(tables).findMistakes()).hasSize(1);
	}

	@Test
	void listsDifferingRows() {
		List<TablesDifference.Change> changes = TablesDifference
			.between(GeneratedTables.withModels(1), GeneratedTables.withModels(2))
			.changes();
		Truth.assertThat(changes.stream().map((change) -> change.kind() + " " + change.table() + " " + change.name()))
			.containsExactly("ADDED routes sofia/model-00001", "CHANGED pools sofia/engines")
			.inOrder();
	}

}
