package org.masticshelf.ctl.sample;

import java.util.List;

/**
 * What tells the sample deployments apart. Each serves its own workshop and a smaller
 * share of the other one, whose names clash.
 */
enum SampleDeployment {

	/** The deployment of Sundarban Willow Works. */
	BENGAL_EAST("bengal-east",
			new Share("willow", 55, 65,
					List.of("sorting-notes", "weaver-answers", "lot-summaries", "grower-descriptions", "field-photos",
							"assistant"),
					List.of("exporters", "delta-growers", "weavers", "market"), List.of("payments", "bundles"), 6, 2),
			new Share("monogram", 10, 10, List.of("assistant", "crest-proofs"), List.of("crests"),
					List.of("stitch-orders"), 2, 1)),

	/** The deployment of Monogram Works. */
	SOFIA("sofia",
			new Share("monogram", 60, 57,
					List.of("thread-colours", "crest-proofs", "stitch-plans", "order-letters", "assistant"),
					List.of("hotels", "schools", "ateliers", "clubs"), List.of("stitch-orders", "invoices"), 6, 2),
			new Share("willow", 10, 8, List.of("assistant", "sorting-notes"), List.of("importers"), List.of("payments"),
					2, 1));

	private final String label;

	private final Share home;

	private final Share guest;

	SampleDeployment(String label, Share home, Share guest) {
		this.label = label;
		this.home = home;
		this.guest = guest;
	}

	/**
	 * Returns the name of the deployment.
	 * @return the name
	 */
	String label() {
		return this.label;
	}

	/**
	 * Returns the shares of the workshops, the deployment's own first.
	 * @return the shares
	 */
	List<Share> shares() {
		return List.of(this.home, this.guest);
	}

	/**
	 * What one workshop has in a deployment.
	 *
	 * @param workshop the workshop
	 * @param models how many models
	 * @param adapters how many adapters
	 * @param families the families that the models are named after
	 * @param organisations the organisations, the largest first
	 * @param orders the plain routes whose calls may not be repeated
	 * @param modelWorkers how many model workers
	 * @param applicationWorkers how many application workers
	 */
	record Share(String workshop, int models, int adapters, List<String> families, List<String> organisations,
			List<String> orders, int modelWorkers, int applicationWorkers) {
	}

}
