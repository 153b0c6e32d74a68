package org.masticshelf.serving.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

import org.masticshelf.kernel.event.Event;
import org.masticshelf.kernel.residency.EngineSnapshot;
import org.masticshelf.kernel.residency.UnservedDemand.Requests;
import org.masticshelf.kernel.serving.LoadableName;

/**
 * Tests {@link StarvationMonitor}.
 */
class StarvationMonitorTests {

	private static final Requests STARVED = new Requests(6, 12_000, 0);

	private final List<String> events = new ArrayList<>();

	private final StarvationMonitor monitor = new StarvationMonitor(this::log);

	private void log(Event event) {
		this.events.add(event.name());
	}

	private void observe(Set<String> onDisk, Map<LoadableName, Requests> unserved, boolean complete) {
		EngineSnapshot engine = new EngineSnapshot("e", "domain", 100, 8, Map.of(), Set.of(), onDisk, 0, "");
		this.monitor
			.observe(new StarvationMonitor.Observation("pool", List.of(engine), Set.of("m", "n"), unserved, complete));
	}

	@Test
	void countsStarvedModelsAndAdaptersApartAndLogsEachOnce() {
		Map<LoadableName, Requests> unserved = Map.of(LoadableName.ofModel("m"), STARVED, LoadableName.parse("n/a1"),
				STARVED, LoadableName.parse("n/a2"), new Requests(1, 12_000, 0));
		observe(Set.of("n"), unserved, true);
		observe(Set.of("n"), unserved, true);
		Truth.assertThat(this.monitor.starvedModels()).isEqualTo(1);
		Truth.assertThat(this.monitor.starvedAdapters()).isEqualTo(1);
		Truth.assertThat(this.monitor.modelsWithoutCopy()).isEqualTo(1);
		Truth.assertThat(this.events)
			.containsExactly("placement.models_without_copy", "placement.starved", "placement.starved");
		observe(Set.of("m", "n"), Map.of(), true);
		Truth.assertThat(this.monitor.starvedModels() + this.monitor.starvedAdapters()).isEqualTo(0);
		Truth.assertThat(this.events.subList(3, 6))
			.containsExactly("placement.models_without_copy", "placement.starvation_ended",
					"placement.starvation_ended");
	}

	@Test
	void reportsNoModelWithoutCopyWhileEnginesAreUnknown() {
		observe(Set.of(), Map.of(), false);
		Truth.assertThat(this.monitor.modelsWithoutCopy()).isEqualTo(0);
	}

	@Test
	void reportsNothingOnceAnotherDaemonPlaces() {
		observe(Set.of(), Map.of(LoadableName.ofModel("m"), STARVED), true);
		this.monitor.clear();
		Truth.assertThat(this.monitor.starvedModels() + this.monitor.modelsWithoutCopy()).isEqualTo(0);
	}

}
