package org.masticshelf.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.placement.LoadableCodec;
import org.masticshelf.kernel.placement.PlacementDecision;

/**
 * Answers daemons that ask for the view: at once when something that they wait for has
 * changed or something was taken away, else at the end of the time that they give.
 * <p>
 * Guarded by the lock of the store's keeper.
 */
final class ViewLongPolls {

	private static final long LONGEST_WAIT_MILLISECONDS = 1_000;

	private final List<Poll> polls = new ArrayList<>();

	private final Map<Loadable, Long> readyAt = new HashMap<>();

	/**
	 * Notes when a loadable is expected to be loaded.
	 * @param loadable the loadable
	 * @param readyInMilliseconds the estimate
	 * @param now the time in milliseconds
	 */
	void expect(Loadable loadable, long readyInMilliseconds, long now) {
		boolean isUnknown = readyInMilliseconds == PlacementDecision.Wait.UNKNOWN_MILLISECONDS;
		this.readyAt.put(loadable, isUnknown ? readyInMilliseconds : now + readyInMilliseconds);
	}

	/**
	 * Drops the estimates of what no request waits for.
	 * @param demanded what requests wait for
	 */
	void retainEstimates(Set<Loadable> demanded) {
		this.readyAt.keySet().retainAll(demanded);
	}

	/**
	 * Takes a poll.
	 * @param body the message of the daemon
	 * @param now the time in milliseconds
	 * @return the answer, completed later
	 */
	CompletableFuture<JsonNode> add(JsonNode body, long now) {
		List<Loadable> wanted = new ArrayList<>();
		body.path("wanted").forEach((each) -> wanted.add(LoadableCodec.read(each)));
		long wait = Math.min(body.path("waitMilliseconds").asLong(), LONGEST_WAIT_MILLISECONDS);
		Poll poll = new Poll(new CompletableFuture<>(), body.path("fencing").asLong(), body.path("version").asLong(),
				wanted, now + wait);
		this.polls.add(poll);
		return poll.answer();
	}

	/**
	 * Takes out the polls that are to be answered now.
	 * @param view the view
	 * @param fencing the fencing number of the tenure
	 * @param now the time in milliseconds
	 * @return completes the answers, to be run without the lock
	 */
	Runnable due(VersionedView view, long fencing, long now) {
		List<Runnable> answers = new ArrayList<>();
		this.polls.removeIf((poll) -> {
			long since = (poll.fencing() == fencing) ? poll.version() : 0;
			boolean isDue = poll.fencing() != fencing || now >= poll.deadline() || view.removed(since)
					|| view.changed(poll.wanted(), since);
			if (isDue) {
				JsonNode answer = answer(poll, view, fencing, since, now);
				answers.add(() -> poll.answer().complete(answer));
			}
			return isDue;
		});
		return () -> answers.forEach(Runnable::run);
	}

	/**
	 * Takes out all polls.
	 * @return tells each that the duty is not held, to be run without the lock
	 */
	Runnable abandon() {
		List<Poll> abandoned = List.copyOf(this.polls);
		this.polls.clear();
		this.readyAt.clear();
		return () -> abandoned.forEach((poll) -> poll.answer().complete(notHeld()));
	}

	/**
	 * Returns the answer of a daemon that does not hold the duty.
	 * @return the message
	 */
	static JsonNode notHeld() {
		return JsonNodeFactory.instance.objectNode().put("held", false);
	}

	private JsonNode answer(Poll poll, VersionedView view, long fencing, long since, long now) {
		ObjectNode answer = JsonNodeFactory.instance.objectNode()
			.put("held", true)
			.put("fencing", fencing)
			.put("version", view.version())
			.put("full", since == 0);
		view.writeChanges(since, answer.putArray("rows"));
		ArrayNode estimates = answer.putArray("estimates");
		for (Loadable loadable : poll.wanted()) {
			Long at = this.readyAt.get(loadable);
			if (at != null && at != PlacementDecision.Wait.UNKNOWN_MILLISECONDS) {
				LoadableCodec.write(loadable, estimates.addObject()).put("readyInMilliseconds", Math.max(0, at - now));
			}
		}
		return answer;
	}

	/**
	 * A daemon that waits for a change.
	 *
	 * @param answer completed with the answer
	 * @param fencing the tenure whose view the daemon has
	 * @param version the version that the daemon has
	 * @param wanted what requests at the daemon wait for
	 * @param deadline when to answer at the latest, in milliseconds
	 */
	private record Poll(CompletableFuture<JsonNode> answer, long fencing, long version, List<Loadable> wanted,
			long deadline) {
	}

}
