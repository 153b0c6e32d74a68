package org.masticshelf.adapters.instancelist;

import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.kernel.port.PortProvider;
import org.masticshelf.standins.instancelist.InstanceListServer;
import org.masticshelf.transport.http.HttpResponse;

class HttpInstanceListTests {

	private static final long BOUND_SECONDS = 20;

	private static final String ONE = "{\"identifier\":\"worker-1\",\"address\":\"127.0.0.1:1\","
			+ "\"failureDomain\":\"a\",\"state\":\"LEAVING\"}";

	private InstanceListServer server;

	private InstanceList list;

	@BeforeEach
	void start() {
		this.server = InstanceListServer.start("127.0.0.1", 0);
		this.list = PortProvider.open(InstanceList.class,
				URI.create("instances+http://" + this.server.address() + "/instances"));
	}

	@AfterEach
	void stop() {
		this.list.close();
		this.server.close();
	}

	@Test
	void readsList() throws Exception {
		this.server.replace("[" + ONE + "]");
		Truth.assertThat(this.list.read().get(BOUND_SECONDS, TimeUnit.SECONDS))
			.containsExactly(new InstanceList.Instance("worker-1", "127.0.0.1:1", "a", InstanceList.State.LEAVING));
	}

	@ParameterizedTest
	@EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void faultFailsReading(InstanceListServer.Fault fault) throws Exception {
		this.server.setFault(fault);
		Throwable failure = this.list.read().handle((instances, thrown) -> thrown).get(BOUND_SECONDS, TimeUnit.SECONDS);
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		Truth.assertThat(cause).isInstanceOf(UncheckedIOException.class);
	}

	@ParameterizedTest
	@ValueSource(strings = { "null", "{}", "[null]", "[{}]", "[{\"identifier\":\"a\",\"state\":\"GONE\"}]",
			"[" + ONE + "," + ONE + "]", "[" + ONE + "] x", "" })
	void invalidListIsNotTaken(String json) {
		Truth.assertThat(isRefused(json.getBytes(StandardCharsets.UTF_8))).isTrue();
	}

	@Property(tries = 300, seed = "13")
	void randomBytesNeverThrowAnythingElse(@ForAll byte[] body) {
		isRefused(body);
	}

	private static boolean isRefused(byte[] body) {
		try {
			HttpInstanceList.parse(new HttpResponse(200, Map.of(), body));
			return false;
		}
		catch (UncheckedIOException ex) {
			Truth.assertThat(ex).hasMessageThat().contains("cannot be read");
			return true;
		}
	}

}
