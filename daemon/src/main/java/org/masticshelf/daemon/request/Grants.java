package org.masticshelf.daemon.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * The organisations' grants, to which requests are charged.
 * <p>
 * Implementations are safe for use by several threads and never block.
 */
public interface Grants {

	/**
	 * Returns whether the grant covers a cost now.
	 * @param organisation the organisation
	 * @param tokens the cost in tokens
	 * @return whether a charge would succeed
	 */
	boolean covers(QualifiedName organisation, long tokens);

	/**
	 * Returns whether the keeper of the grant answers, so that it is known how soon the
	 * grant can cover a cost.
	 * @param organisation the organisation
	 * @return {@code false} while the keeper of the grant does not answer
	 */
	boolean isKeeperReachable(QualifiedName organisation);

	/**
	 * Charges a cost.
	 * @param organisation the organisation
	 * @param tokens the cost in tokens
	 * @return the charge, or {@code null} if the grant does not cover it now
	 */
	@Nullable Charge charge(QualifiedName organisation, long tokens);

	/**
	 * Returns the minimum time until the grant can cover a cost.
	 * @param organisation the organisation
	 * @param tokens the cost in tokens
	 * @return nanoseconds, 0 if it covers it now, {@link Long#MAX_VALUE} if it never can
	 */
	long nanosecondsUntilCovered(QualifiedName organisation, long tokens);

	/** A charge that is settled once. */
	interface Charge {

		/**
		 * Returns whether the request may still be dispatched under this charge.
		 * @return {@code false} once the lent tokens have expired
		 */
		boolean isValid();

		/**
		 * Settles the charge with the tokens that were used.
		 * @param usedTokens the number of prompt and generated tokens
		 */
		void settle(long usedTokens);

	}

	/** Unlimited grants, for requests of routes that are open to all. */
	enum Unlimited implements Grants {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean covers(QualifiedName organisation, long tokens) {
			return true;
		}

		@Override
		public boolean isKeeperReachable(QualifiedName organisation) {
			return true;
		}

		@Override
		public Charge charge(QualifiedName organisation, long tokens) {
			return FreeCharge.INSTANCE;
		}

		@Override
		public long nanosecondsUntilCovered(QualifiedName organisation, long tokens) {
			return 0;
		}

	}

	/** The charge of a request of a route that is open to all. */
	enum FreeCharge implements Charge {

		/** The only instance. */
		INSTANCE;

		@Override
		public boolean isValid() {
			return true;
		}

		@Override
		public void settle(long usedTokens) {
		}

	}

}
