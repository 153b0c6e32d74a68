package org.masticshelf.kernel.placement;

import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticshelf.kernel.placement.EndpointRecord.State;

class EndpointRecordTests {

	private static final EndpointRecord.Sender NEXT = new EndpointRecord.Sender("next", "127.0.0.1:2", 2);

	@ParameterizedTest
	@EnumSource(State.class)
	void readsWhatItWrote(State state) {
		EndpointRecord record = EndpointRecord.empty("e1")
			.with(PlannerScenario.entry("m", state, 60))
			.with(PlannerScenario.entry("m:a", state, 5).withSuccessor(NEXT));
		Truth.assertThat(EndpointRecord.of("e1", record.toJson())).isEqualTo(record);
	}

	@Test
	void keepsEachFormerSenderUntilItIsSettled() {
		EndpointRecord.Entry adopted = PlannerScenario.entry("m", State.INTENDED, 60).withSuccessor(NEXT);
		Truth.assertThat(adopted.earlier()).containsExactly(PlannerScenario.SENDER);
		Truth.assertThat(adopted.withoutEarlier(List.of(PlannerScenario.SENDER)).earlier()).isEmpty();
	}

}
