package org.masticshelf.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.time.MonotonicClock;
import org.masticshelf.standins.keyvalue.InMemoryKeyValue;
import org.masticshelf.standins.keyvalue.gateway.KeyValueGateway;
import org.masticshelf.transport.http.JsonServer;
import org.masticshelf.transport.json.Json;

/**
 * Runs the tool against a stand-in key-value service and stand-in daemons. Used by one
 * thread.
 */
final class Tool implements AutoCloseable {

	static final Instant NOW = Instant.parse("2026-12-01T00:00:00Z");

	final InMemoryKeyValue service = new InMemoryKeyValue(new MonotonicClock.Manual());

	private final KeyValueGateway gateway = KeyValueGateway.start(this.service, "127.0.0.1", 0);

	private final List<JsonServer> daemons = new ArrayList<>();

	/**
	 * Starts a daemon that answers {@code status}.
	 * @param failureDomain the failure domain that it tells
	 * @param revision the revision that it tells
	 * @return this tool
	 */
	Tool withDaemon(String failureDomain, LongSupplier revision) {
		JsonServer daemon = JsonServer.start("127.0.0.1", 0, 1);
		daemon.addHandler("status",
				(body) -> CompletableFuture.completedFuture(status(failureDomain, revision.getAsLong())));
		daemon.addHandler("explain", CompletableFuture::completedFuture);
		this.daemons.add(daemon);
		return this;
	}

	/**
	 * Reads the accepted revision from the service, as a daemon without a lag would.
	 * @return the accepted revision
	 */
	long acceptedRevision() {
		String head = this.service.snapshotState().get("masticshelf/configuration/head").value();
		return (head != null) ? Json.toTree(head.getBytes(StandardCharsets.UTF_8)).path("revision").asLong() : 0;
	}

	/**
	 * Runs the tool.
	 * @param line the command line, cut at blanks
	 * @return what it did
	 */
	Run run(String line) {
		StringBuilder whole = new StringBuilder(line).append(" --key-value etcd://").append(this.gateway.address());
		whole.append(" --wait-seconds 0 --author tester");
		this.daemons.forEach((daemon) -> whole.append(" --daemon ").append(daemon.address()));
		return runAlone(whole.toString());
	}

	/**
	 * Runs the tool without naming the key-value service or daemons.
	 * @param line the command line, cut at blanks
	 * @return what it did
	 */
	static Run runAlone(String line) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		ByteArrayOutputStream errors = new ByteArrayOutputStream();
		MasticshelfCtl tool = new MasticshelfCtl(new PrintStream(output, true, StandardCharsets.UTF_8),
				new PrintStream(errors, true, StandardCharsets.UTF_8), InstantSource.fixed(NOW));
		int status = tool.run(line.isEmpty() ? new String[0] : line.split(" "));
		return new Run(status, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		this.daemons.forEach(JsonServer::close);
		this.gateway.close();
	}

	private static JsonNode status(String failureDomain, long revision) {
		ObjectNode status = Json.mapper().createObjectNode();
		status.put("failureDomain", failureDomain).put("revision", revision);
		status.putArray("failureDomains").add("a").add("b").add("c");
		return status;
	}

	/**
	 * What one run did.
	 *
	 * @param status the exit status
	 * @param output the standard output
	 * @param errors the standard error
	 */
	record Run(int status, String output, String errors) {

		JsonNode json() {
			return Json.toTree(this.output.getBytes(StandardCharsets.UTF_8));
		}

	}

}
