package org.masticshelf.daemon.request;

import org.jspecify.annotations.Nullable;

import org.masticshelf.control.grant.GrantClient;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.ChargeOutcome;
import org.masticshelf.kernel.time.MonotonicClock;

/**
 * Charges the grants that this daemon's {@link GrantClient} holds. Safe for use by
 * several threads.
 */
public final class ClientGrants implements Grants {

	private final GrantClient client;

	private final MonotonicClock clock;

	/**
	 * Creates grants.
	 * @param client the client of the grants' keepers
	 * @param clock the clock
	 */
	public ClientGrants(GrantClient client, MonotonicClock clock) {
		this.client = client;
		this.clock = clock;
	}

	@Override
	public boolean covers(QualifiedName organisation, long tokens) {
		return this.client.waitNanoseconds(organisation, tokens) == 0;
	}

	@Override
	public boolean isKeeperReachable(QualifiedName organisation) {
		return this.client.isInContact(organisation);
	}

	@Override
	public @Nullable Charge charge(QualifiedName organisation, long tokens) {
		return switch (this.client.charge(organisation, tokens)) {
			case ChargeOutcome.Charged charged -> new ClientCharge(organisation, charged);
			case ChargeOutcome.Insufficient insufficient -> null;
			case ChargeOutcome.Excessive excessive -> null;
		};
	}

	@Override
	public long nanosecondsUntilCovered(QualifiedName organisation, long tokens) {
		return this.client.waitNanoseconds(organisation, tokens);
	}

	/** A charge made by the client. Safe for use by several threads. */
	private final class ClientCharge implements Charge {

		private final QualifiedName organisation;

		private final ChargeOutcome.Charged charged;

		ClientCharge(QualifiedName organisation, ChargeOutcome.Charged charged) {
			this.organisation = organisation;
			this.charged = charged;
		}

		@Override
		public boolean isValid() {
			return ClientGrants.this.clock.nanoseconds() - this.charged.validUntilNanoseconds() < 0;
		}

		@Override
		public void settle(long usedTokens) {
			ClientGrants.this.client.settle(this.organisation, this.charged, usedTokens);
		}

	}

}
