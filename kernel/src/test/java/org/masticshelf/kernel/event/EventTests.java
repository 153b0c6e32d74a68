package org.masticshelf.kernel.event;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "plain|plain", "two words|\"two words\"", "a=b|\"a=b\"", "say \"x\"|\"say \\\"x\\\"\"" })
	void rendersValue(String value, String rendered) {
		Truth.assertThat(Event.named("test").with("key", value).toLine()).isEqualTo("event=test key=" + rendered);
	}

	@Property(tries = 200, seed = "1")
	void staysOnOneLine(@ForAll String value) {
		String line = Event.named("test").with("key", value).toLine();
		Truth.assertThat(line.lines().count()).isEqualTo(1);
	}

}
