package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.kernel.serving.ServedRequest;
import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.serving.upstream.EndpointConnections;
import org.masticshelf.serving.upstream.EndpointProtocol;
import org.masticshelf.serving.upstream.EndpointProtocol.AnswerMetadata;
import org.masticshelf.serving.upstream.EndpointProtocol.OutboundRequest;
import org.masticshelf.transport.http.AnswerHead;
import org.masticshelf.transport.http.HttpConnection;

/**
 * Tests that an {@link EndpointExchange} leaves alone a connection that it has given
 * back, and collects no more of an answer than there is room for.
 */
class EndpointExchangeTests {

	private static final long TIMEOUT_SECONDS = 20;

	private static final String REFUSED = "HTTP/1.1 503 Busy\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String ANSWERED = "HTTP/1.1 200 OK\r\nId: first\r\nMark: e\r\nContent-Length: 2\r\n\r\nok";

	private static final String STREAMED = "HTTP/1.1 200 OK\r\nId: first\r\nMark: e\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n";

	private final EndpointConnections connections = new EndpointConnections(MonotonicClock.SystemClock.INSTANCE);

	private final PlannedStop plannedStop = new PlannedStop(MonotonicClock.SystemClock.INSTANCE, 8_000);

	private final AnswerMemory memory = new AnswerMemory(1_000_000);

	private final RecordingCaller first = new RecordingCaller();

	private final RecordingCaller second = new RecordingCaller();

	private ExchangeResult exchange(String identifier, ScriptedEndpoint endpoint, RecordingCaller caller) {
		ServedRequest request = new ServedRequest(identifier, "POST", "/a", "host", null, 2_000, null, 10, 10, "",
				List.of(), null, List.of(), new byte[0]);
		OutboundRequest outbound = new OutboundRequest(request, endpoint.toEndpoint(), null, 0, 2_000, null);
		return new EndpointExchange(this.connections, Protocol.INSTANCE, outbound, Limits.INSTANCE, caller,
				ConnectionChoice.POOLED, this.plannedStop, this.memory)
			.run(new StreamRelay(caller, null));
	}

	/**
	 * Guards against a caller who loses its answer because another one leaves, whose
	 * earlier attempt has used the same connection (LOST).
	 * @param firstAnswer the answer to the earlier attempt
	 * @param streamed whether the answer that is under way is a stream
	 */
	@ParameterizedTest
	@Timeout(2 * TIMEOUT_SECONDS)
	@CsvSource({ "REFUSED, false", "REFUSED, true", "ANSWERED, false", "ANSWERED, true", "STREAMED, false",
			"STREAMED, true" })
	void callerThatLeavesDoesNotCutTheNextExchangeOfItsConnection(String firstAnswer, boolean streamed)
			throws Exception {
		String earlier = Map.of("REFUSED", REFUSED, "ANSWERED", ANSWERED, "STREAMED", STREAMED).get(firstAnswer);
		String answer = (streamed ? STREAMED : ANSWERED).replace("first", "second");
		int middle = answer.length() - 1;
		try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e", Objects.requireNonNull(earlier),
				answer.substring(0, middle) + ScriptedEndpoint.PAUSE + answer.substring(middle))) {
			exchange("first", endpoint, this.first);
			CompletableFuture<ExchangeResult> result = CompletableFuture
				.supplyAsync(() -> exchange("second", endpoint, this.second));
			while (endpoint.heads().size() < 2) {
				Thread.onSpinWait();
			}
			this.first.disconnect();
			endpoint.proceed();
			Truth.assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
				.isInstanceOf(streamed ? ExchangeResult.Streamed.class : ExchangeResult.Answered.class);
			Truth.assertThat(endpoint.connections()).isEqualTo(1);
		}
	}

	/** Guards against a connection that is closed while it is given back. */
	@Test
	void callerThatLeavesWhileTheConnectionIsGivenBackDoesNotHarmTheNextExchange() throws IOException {
		try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e", REFUSED, ANSWERED.replace("first", "second"))) {
			this.first.disconnectWhenActionIsRemoved();
			Truth.assertThat(exchange("first", endpoint, this.first)).isInstanceOf(ExchangeResult.NotRun.class);
			Truth.assertThat(exchange("second", endpoint, this.second)).isInstanceOf(ExchangeResult.Answered.class);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { REFUSED, ANSWERED, STREAMED, "HTTP/1.1 000\r\n\r\n" })
	void leavesNothingBehindAtItsCaller(String answer) throws IOException {
		try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e", answer)) {
			exchange("first", endpoint, this.first);
			Truth.assertThat(this.first.countGoneActions()).isEqualTo(0);
		}
	}

	/**
	 * Guards against a heap that is filled by answers without end (CONFIG).
	 * @param head the head of the answer
	 */
	@ParameterizedTest
	@Timeout(2 * TIMEOUT_SECONDS)
	@ValueSource(strings = { "200 OK\r\nMark: e", "404 None", "503 Busy\r\nNot-Run: 1",
			"200 OK\r\nMark: e\r\nContent-Type: text/event-stream" })
	void answerWithoutEndIsRefusedOnceItHoldsHalfOfTheMemory(String head) throws IOException {
		String endless = "HTTP/1.1 " + head + "\r\nId: first\r\n\r\n" + ScriptedEndpoint.ENDLESS + "x";
		try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e", endless)) {
			ExchangeResult result = exchange("first", endpoint, this.first);
			Truth.assertThat(result).isInstanceOf(ExchangeResult.Lost.class);
			Truth.assertThat(((ExchangeResult.Lost) result).reason()).startsWith("no room for an answer of ");
			Truth.assertThat(this.memory.countedBytes()).isEqualTo(0);
		}
	}

	@Test
	void holdThatHasEndedDoesNotCloseTheConnection() throws IOException {
		try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e", ANSWERED)) {
			HttpConnection connection = this.connections.open(endpoint.toEndpoint(), false);
			ConnectionHold hold = new ConnectionHold(connection);
			hold.end();
			hold.abort();
			Truth.assertThat(connection.isStale()).isFalse();
			new ConnectionHold(connection).abort();
			Truth.assertThat(connection.isStale()).isTrue();
		}
	}

	/** The wire format of the scripts. */
	private enum Protocol implements EndpointProtocol {

		INSTANCE;

		@Override
		public List<Header> requestHeaders(OutboundRequest outbound) {
			return List.of();
		}

		@Override
		public AnswerMetadata answerMetadata(AnswerHead head) {
			return new AnswerMetadata(head.header("Id"), head.header("Not-Run") != null, false,
					head.header("Mark") != null, null, false, 0);
		}

	}

	/** Timeouts that are not reached. */
	private enum Limits implements EndpointExchange.Limits {

		INSTANCE;

		@Override
		public long firstByteMilliseconds() {
			return TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		}

		@Override
		public long gapMilliseconds() {
			return TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		}

		@Override
		public long totalMilliseconds() {
			return TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		}

		@Override
		public void recordStatements(AnswerMetadata metadata) {
			// Nothing is stated.
		}

		@Override
		public void recordLeaving() {
			// Nothing is stated.
		}

		@Override
		public void recordPause(long milliseconds) {
			// Nothing is stated.
		}

		@Override
		public void recordHead() {
			// The timeouts are constant.
		}

		@Override
		public void recordEvent() {
			// The timeouts are constant.
		}

	}

}
