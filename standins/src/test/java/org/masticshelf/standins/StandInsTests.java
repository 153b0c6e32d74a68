package org.masticshelf.standins;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ServiceLoader;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInsTests {

	@Test
	void everyStandInRegistersItself() {
		Truth
			.assertThat(
					ServiceLoader.load(StandInCommand.class).stream().map((provider) -> provider.get().name()).toList())
			.containsExactly("key-value", "instance-list", "fault-proxy", "engine", "weight-store", "plain-service");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', value = { "``|2", "nonsense|2", "--help|0", "fault-proxy|2",
			"key-value --port x|2", "instance-list --file no-such-file|1" })
	void exitStatusTellsWhatHappened(String line, int status) {
		Truth.assertThat(run(new ByteArrayOutputStream(), line)).isEqualTo(status);
	}

	private static int run(ByteArrayOutputStream output, String line) {
		PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
		return StandIns.run(stream, stream, line.isEmpty() ? new String[0] : line.split(" "));
	}

}
