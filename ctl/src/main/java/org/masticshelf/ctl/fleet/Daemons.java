package org.masticshelf.ctl.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.ctl.CommandFailure;
import org.masticshelf.transport.http.HttpCall;
import org.masticshelf.transport.http.HttpClient;
import org.masticshelf.transport.http.HttpResponse;
import org.masticshelf.transport.json.Json;

/**
 * Asks daemons over their control listeners. Threads start with the first question.
 * <p>
 * Used by one thread.
 */
public final class Daemons implements AutoCloseable {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final long POLL_INTERVAL_MILLISECONDS = 100;

	private static final int STATUS_OK = 200;

	private final List<String> addresses;

	private final Duration confirmationBound;

	private @Nullable HttpClient client;

	/**
	 * Creates the client.
	 * @param addresses the IP numbers and ports of the control listeners
	 * @param confirmationBound how long to wait until a revision is in force
	 */
	public Daemons(List<String> addresses, Duration confirmationBound) {
		this.addresses = List.copyOf(addresses);
		this.confirmationBound = confirmationBound;
	}

	/**
	 * Returns whether no daemon was named.
	 * @return whether there is none to ask
	 */
	public boolean isEmpty() {
		return this.addresses.isEmpty();
	}

	/**
	 * Asks all named daemons for their status, and those of the same failure domains that
	 * they know of.
	 * @return one status for each daemon, the named ones first in their order
	 */
	public List<DaemonStatus> statuses() {
		List<DaemonStatus> statuses = new ArrayList<>(ask(this.addresses));
		Set<String> unnamed = new LinkedHashSet<>();
		statuses.forEach((status) -> unnamed.addAll(status.domainMembers()));
		this.addresses.forEach(unnamed::remove);
		statuses.addAll(ask(List.copyOf(unnamed)));
		return statuses;
	}

	private List<DaemonStatus> ask(List<String> asked) {
		List<CompletableFuture<DaemonStatus>> answers = asked.stream().map(this::status).toList();
		return answers.stream().map(CompletableFuture::join).toList();
	}

	/**
	 * Returns the highest revision that a daemon runs.
	 * @return the revision, 0 if no daemon answered
	 */
	public long highestRevision() {
		return statuses().stream().mapToLong(DaemonStatus::revision).filter((revision) -> revision > 0).max().orElse(0);
	}

	/**
	 * Waits until a revision is in force.
	 * @param revision the revision
	 * @return where it is in force, after the bound at the latest
	 */
	public Confirmation await(long revision) {
		long start = System.nanoTime();
		Confirmation confirmation = new Confirmation(revision, statuses());
		while (!confirmation.missing().isEmpty() && System.nanoTime() - start < this.confirmationBound.toNanos()) {
			pause();
			confirmation = new Confirmation(revision, statuses());
		}
		return confirmation;
	}

	/**
	 * Asks the first daemon that answers.
	 * @param operation the operation
	 * @param body the value to send
	 * @return the answer
	 * @throws CommandFailure if no daemon answers
	 */
	public JsonNode askFirst(String operation, ObjectNode body) {
		List<String> failures = new ArrayList<>();
		for (String address : this.addresses) {
			try {
				return call(address, operation, body).join();
			}
			catch (CompletionException ex) {
				failures.add(address + ": " + reason(ex));
			}
		}
		throw new CommandFailure("unavailable",
				failures.isEmpty() ? "no daemon was named" : "no daemon answered: " + String.join("; ", failures));
	}

	@Override
	public void close() {
		if (this.client != null) {
			this.client.close();
		}
	}

	private CompletableFuture<DaemonStatus> status(String address) {
		return call(address, "status", Json.mapper().createObjectNode()).handle((answer, failure) -> (failure != null)
				? new DaemonStatus(address, null, reason(failure)) : new DaemonStatus(address, answer, ""));
	}

	private CompletableFuture<JsonNode> call(String address, String operation, ObjectNode body) {
		HttpCall call = HttpCall.postJson(address, "/control/" + operation, Json.toBytes(body))
			.withTimeout(CALL_TIMEOUT);
		return client().exchange(call)
			.orTimeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenApply((answer) -> read(operation, answer));
	}

	private HttpClient client() {
		HttpClient open = this.client;
		if (open == null) {
			open = HttpClient.withThreads(1);
			this.client = open;
		}
		return open;
	}

	private static JsonNode read(String operation, HttpResponse answer) {
		if (answer.status() != STATUS_OK) {
			throw new CommandFailure("refused", operation + " answered status " + answer.status());
		}
		return Json.toTree(answer.body());
	}

	private static String reason(Throwable failure) {
		Throwable cause = failure.getCause();
		Throwable shown = (failure instanceof CompletionException && cause != null) ? cause : failure;
		return (shown.getMessage() != null) ? shown.getMessage() : shown.getClass().getSimpleName();
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandFailure("interrupted", "interrupted");
		}
	}

}
