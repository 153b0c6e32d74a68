package org.masticshelf.kernel.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One row of a stored page. A pool is stored as several rows, so that its size is not
 * bounded by the size of a page.
 * <p>
 * Implementations are immutable.
 */
sealed interface Row {

	/**
	 * Returns the table that the row stands in.
	 * @return the table
	 */
	@JsonIgnore
	Table table();

	/**
	 * Returns the workshop that the row belongs to.
	 * @return the workshop
	 */
	@JsonIgnore
	String workshop();

	/**
	 * Returns the key of the row, unique within its table and workshop.
	 * @return the key
	 */
	@JsonIgnore
	String key();

	/** The stored tables. */
	enum Table {

		/** Routes. */
		ROUTES(OfRoute.class),

		/** Pools without their endpoints and models. */
		POOLS(OfPool.class),

		/** Endpoints of pools. */
		ENDPOINTS(OfEndpoint.class),

		/** Models of pools. */
		MODELS(OfModel.class),

		/** Organisations. */
		ORGANISATIONS(OfOrganisation.class),

		/** Keys of organisations. */
		KEYS(OfKey.class);

		private final Class<? extends Row> rowType;

		Table(Class<? extends Row> rowType) {
			this.rowType = rowType;
		}

		/**
		 * Returns the type of the rows.
		 * @return the type
		 */
		Class<? extends Row> rowType() {
			return this.rowType;
		}

	}

	/**
	 * A route.
	 *
	 * @param route the route
	 */
	record OfRoute(Route route) implements Row {

		@Override
		public Table table() {
			return Table.ROUTES;
		}

		@Override
		public String workshop() {
			return this.route.name().workshop();
		}

		@Override
		public String key() {
			return this.route.name().name();
		}

	}

	/**
	 * A pool without its endpoints and models.
	 *
	 * @param pool the name of the pool
	 * @param kind the kind of its endpoints
	 * @param store the weight store
	 */
	record OfPool(QualifiedName pool, Route.Kind kind, String store) implements Row {

		@Override
		public Table table() {
			return Table.POOLS;
		}

		@Override
		public String workshop() {
			return this.pool.workshop();
		}

		@Override
		public String key() {
			return this.pool.name();
		}

	}

	/**
	 * An endpoint of a pool.
	 *
	 * @param pool the name of the pool
	 * @param endpoint the endpoint
	 */
	record OfEndpoint(QualifiedName pool, Pool.Endpoint endpoint) implements Row {

		@Override
		public Table table() {
			return Table.ENDPOINTS;
		}

		@Override
		public String workshop() {
			return this.pool.workshop();
		}

		@Override
		public String key() {
			return this.pool.name() + "/" + this.endpoint.identifier();
		}

	}

	/**
	 * A model of a pool.
	 *
	 * @param pool the name of the pool
	 * @param model the model with its adapters
	 */
	record OfModel(QualifiedName pool, Pool.Model model) implements Row {

		@Override
		public Table table() {
			return Table.MODELS;
		}

		@Override
		public String workshop() {
			return this.pool.workshop();
		}

		@Override
		public String key() {
			return this.pool.name() + "/" + this.model.name();
		}

	}

	/**
	 * An organisation.
	 *
	 * @param organisation the organisation
	 */
	record OfOrganisation(Organisation organisation) implements Row {

		@Override
		public Table table() {
			return Table.ORGANISATIONS;
		}

		@Override
		public String workshop() {
			return this.organisation.name().workshop();
		}

		@Override
		public String key() {
			return this.organisation.name().name();
		}

	}

	/**
	 * A key of an organisation.
	 *
	 * @param organisationKey the digest and its organisation
	 */
	record OfKey(OrganisationKey organisationKey) implements Row {

		@Override
		public Table table() {
			return Table.KEYS;
		}

		@Override
		public String workshop() {
			return this.organisationKey.organisation().workshop();
		}

		@Override
		public String key() {
			return this.organisationKey.digest();
		}

	}

}
