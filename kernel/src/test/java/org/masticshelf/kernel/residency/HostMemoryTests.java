package org.masticshelf.kernel.residency;

import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link HostMemory}.
 */
class HostMemoryTests {

	private final HostMemory memory = new HostMemory();

	/**
	 * Guards against expecting a load from memory whose copy later loads have evicted.
	 * @param capacity the capacity in megabytes
	 * @param expected the models with a copy after the loads of a, b, a and c
	 */
	@ParameterizedTest
	@CsvSource({ "130, 'c'", "160, 'a,c'", "250, 'a,b,c'", "0, 'a,b,c'", "10, 'c'" })
	void loadEvictsCopiesThatWereLoadedLongestAgo(double capacity, String expected) {
		for (String model : List.of("a", "b", "a", "c")) {
			this.memory.recordLoad(model, 73, capacity);
		}
		Truth.assertThat(this.memory.models()).containsExactlyElementsIn(expected.split(","));
	}

	/** Guards against keeping copies that the engine's report no longer names. */
	@Test
	void reportReplacesCopiesAndKeepsTheirOrder() {
		this.memory.recordLoad("a", 73, 300);
		this.memory.recordLoad("b", 73, 300);
		this.memory.applyReport(Set.of("b", "x"), (model) -> 73);
		this.memory.recordLoad("c", 73, 160);
		Truth.assertThat(this.memory.models()).containsExactly("b", "c");
	}

}
