package org.masticshelf.kernel.configuration;

import org.masticshelf.kernel.event.Event;

/**
 * What a daemon does about a head that it has seen.
 * <p>
 * Invariant: no decision lowers the revision in force. Implementations are immutable.
 */
public sealed interface AdoptionDecision {

	/**
	 * Decides how to treat a head.
	 * @param own the head in force
	 * @param seen the head of the key-value service or of a peer
	 * @return the decision
	 */
	static AdoptionDecision of(Head own, Head seen) {
		if (seen.revision() > own.revision()) {
			return new Fetch(own.revision(), seen.revision());
		}
		if (seen.revision() < own.revision()) {
			return new KeepNewer(own.revision(), seen.revision());
		}
		return seen.agreesWith(own) ? new Confirm(own.revision()) : new Fork(own, seen);
	}

	/**
	 * Returns the log event of this decision.
	 * @return the event
	 */
	Event toEvent();

	/**
	 * The head is the one in force.
	 *
	 * @param revision the revision
	 */
	record Confirm(long revision) implements AdoptionDecision {

		@Override
		public Event toEvent() {
			return Event.named("configuration.confirmed").with("revision", this.revision);
		}

	}

	/**
	 * The head is newer; its pages are fetched.
	 *
	 * @param from the revision in force
	 * @param to the newer revision
	 */
	record Fetch(long from, long to) implements AdoptionDecision {

		@Override
		public Event toEvent() {
			return Event.named("configuration.fetch").with("from", this.from).with("to", this.to);
		}

	}

	/**
	 * The head is older than the one in force, as after a restore of the key-value
	 * service.
	 *
	 * @param own the revision in force
	 * @param seen the older revision
	 */
	record KeepNewer(long own, long seen) implements AdoptionDecision {

		@Override
		public Event toEvent() {
			return Event.named("configuration.kept_newer").with("own", this.own).with("seen", this.seen);
		}

	}

	/**
	 * Two heads have one revision and other tables, as when an operator changed a
	 * restored key-value service. The one in force is kept until a higher revision
	 * resolves the fork.
	 *
	 * @param own the head in force
	 * @param seen the other head
	 */
	record Fork(Head own, Head seen) implements AdoptionDecision {

		@Override
		public Event toEvent() {
			return Event.named("configuration.fork")
				.with("revision", this.own.revision())
				.with("own_change", this.own.change())
				.with("seen_change", this.seen.change())
				.with("seen_author", this.seen.author());
		}

	}

}
