package org.masticshelf.bench.replay;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * A request on its way through one of the compared systems.
 * <p>
 * Used by one thread.
 */
final class Flight {

	final TraceEvent.Request request;

	final QualifiedName organisation;

	final Loadable loadable;

	final long arrived;

	final boolean cold;

	final boolean insideRate;

	final boolean organisationInsideRate;

	/**
	 * Creates a flight.
	 * @param request the request
	 * @param organisation the organisation
	 * @param loadable what it needs
	 * @param arrived the reading at which the caller sent it
	 * @param cold whether nothing that serves it was loaded then
	 * @param insideRate whether an ideal bucket over the whole fleet had tokens for it
	 * @param organisationInsideRate whether all that the organisation sent so far was
	 * within its rate and burst
	 */
	Flight(TraceEvent.Request request, QualifiedName organisation, Loadable loadable, long arrived, boolean cold,
			boolean insideRate, boolean organisationInsideRate) {
		this.request = request;
		this.organisation = organisation;
		this.loadable = loadable;
		this.arrived = arrived;
		this.cold = cold;
		this.insideRate = insideRate;
		this.organisationInsideRate = organisationInsideRate;
	}

	long deadline() {
		return this.arrived + this.request.deadlineMilliseconds() * VirtualTime.NANOSECONDS_PER_MILLISECOND;
	}

}
