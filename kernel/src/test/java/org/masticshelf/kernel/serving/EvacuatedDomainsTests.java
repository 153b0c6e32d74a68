package org.masticshelf.kernel.serving;

import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests {@link EvacuatedDomains}.
 */
class EvacuatedDomainsTests {

	/**
	 * Guards against requests to an evacuated failure domain whose key is missing from
	 * the copy from which the key-value service has returned, and against an evacuation
	 * that cannot be taken back.
	 * @param sinceRestore the time since the return, in milliseconds
	 * @param inForce whether the evacuation is still in force
	 */
	@ParameterizedTest
	@CsvSource({ "0, true", "4999, true", "5000, false", "9000000, false" })
	void missingEvacuationStaysInForceAfterRestore(long sinceRestore, boolean inForce) {
		EvacuatedDomains previous = new EvacuatedDomains(Map.of("a", 7L, "b", 8L));
		EvacuatedDomains listed = new EvacuatedDomains(Map.of("b", 9L, "c", 10L));
		Truth.assertThat(listed.inForceAfter(previous, sinceRestore).revisions())
			.isEqualTo(inForce ? Map.of("a", 7L, "b", 9L, "c", 10L) : Map.of("b", 9L, "c", 10L));
	}

}
