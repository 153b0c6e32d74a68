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
 * Answers long polls for the view. A poll is answered at once if a loadable that its
 * daemon waits for has changed, if an endpoint has stopped serving a loadable, or if the
 * daemon's view is that of another tenure; otherwise it is answered when its wait has
 * passed.
 * <p>
 * Guarded by the lock of the store's controller.
 */
final class ViewLongPolls {

	private static final long MAXIMUM_WAIT_MILLISECONDS = 1_000;

	private final List<LongPoll> polls = new ArrayList<>();

	private final Map<Loadable, Long> readyAt = new HashMap<>();

	/**
	 * Sets the estimate of when a loadable will be loaded.
	 * @param loadable the model or adapter
	 * @param readyInMilliseconds the expected time until then, possibly
	 * {@link PlacementDecision.Wait#UNKNOWN_MILLISECONDS}
	 * @param now the time in milliseconds
	 */
	void setEstimate(Loadable loadable, long readyInMilliseconds, long now) {
		boolean isUnknown = readyInMilliseconds == PlacementDecision.Wait.UNKNOWN_MILLISECONDS;
		this.readyAt.put(loadable, isUnknown ? readyInMilliseconds : now + readyInMilliseconds);
	}

	/**
	 * Drops the estimates of loadables that no request waits for.
	 * @param demanded the loadables that requests wait for
	 */
	void retainEstimates(Set<Loadable> demanded) {
		this.readyAt.keySet().retainAll(demanded);
	}

	/**
	 * Adds a poll.
	 * @param body the message of the daemon
	 * @param now the time in milliseconds
	 * @return the answer, which completes later
	 */
	CompletableFuture<JsonNode> add(JsonNode body, long now) {
		List<Loadable> wanted = new ArrayList<>();
		body.path("wanted").forEach((each) -> wanted.add(LoadableCodec.read(each)));
		long wait = Math.min(body.path("waitMilliseconds").asLong(), MAXIMUM_WAIT_MILLISECONDS);
		LongPoll poll = new LongPoll(new CompletableFuture<>(), body.path("fencing").asLong(),
				body.path("version").asLong(), wanted, now + wait);
		this.polls.add(poll);
		return poll.answer();
	}

	/**
	 * Removes the polls that have to be answered now.
	 * @param view the current view
	 * @param fencing the fencing number of the tenure
	 * @param now the time in milliseconds
	 * @return completes the answers and must run without the lock
	 */
	Runnable takeDue(VersionedView view, long fencing, long now) {
		List<Runnable> answers = new ArrayList<>();
		this.polls.removeIf((poll) -> {
			long since = (poll.fencing() == fencing) ? poll.version() : 0;
			boolean isDue = poll.fencing() != fencing || now >= poll.deadline() || view.hasRemovalsSince(since)
					|| view.hasChangesSince(poll.wanted(), since);
			if (isDue) {
				JsonNode answer = createAnswer(poll, view, fencing, since, now);
				answers.add(() -> poll.answer().complete(answer));
			}
			return isDue;
		});
		return () -> answers.forEach(Runnable::run);
	}

	/**
	 * Removes all polls and estimates.
	 * @return answers each poll that the duty is not held; must run without the lock
	 */
	Runnable abandonAll() {
		List<LongPoll> abandoned = List.copyOf(this.polls);
		this.polls.clear();
		this.readyAt.clear();
		return () -> abandoned.forEach((poll) -> poll.answer().complete(notHeld()));
	}

	/**
	 * Returns the answer of a daemon that does not hold the duty.
	 * @return the answer
	 */
	static JsonNode notHeld() {
		return JsonNodeFactory.instance.objectNode().put("held", false);
	}

	private JsonNode createAnswer(LongPoll poll, VersionedView view, long fencing, long since, long now) {
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
	 * A poll that waits for a change.
	 *
	 * @param answer completes with the answer
	 * @param fencing the fencing number of the tenure whose view the daemon has
	 * @param version the version of the daemon's view
	 * @param wanted what requests at the daemon wait for
	 * @param deadline the time of the latest answer in milliseconds
	 */
	private record LongPoll(CompletableFuture<JsonNode> answer, long fencing, long version, List<Loadable> wanted,
			long deadline) {
	}

}
