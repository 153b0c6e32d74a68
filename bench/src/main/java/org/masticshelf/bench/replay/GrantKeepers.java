package org.masticshelf.bench.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.Allotment;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantLimits;
import org.masticshelf.kernel.grant.GrantParameters;
import org.masticshelf.kernel.grant.GrantRequest;
import org.masticshelf.kernel.grant.KeeperLedger;

/**
 * The keepers of all grants, which have been in office for some time when a trace begins.
 * Writing allotments takes no time.
 * <p>
 * Used by one thread.
 */
final class GrantKeepers {

	static final long SINCE_NANOSECONDS = -120_000_000_000L;

	private final Map<QualifiedName, KeeperLedger> ledgers = new HashMap<>();

	GrantKeepers(Iterable<Organisation> organisations) {
		organisations.forEach(
				(organisation) -> this.ledgers.put(organisation.name(), new KeeperLedger(GrantLimits.of(organisation),
						1, List.of(), GrantParameters.RESERVE_PARTS_PER_MILLION, SINCE_NANOSECONDS)));
	}

	@Nullable GrantAnswer answer(int daemon, GrantRequest request, long now) {
		KeeperLedger ledger = this.ledgers.get(request.organisation());
		if (ledger == null) {
			return null;
		}
		GrantRequest.Sender sender = new GrantRequest.Sender("daemon-" + daemon, "instance-" + daemon, "127.0.0.1:1");
		GrantAnswer answer = ledger.answer(sender, request, Deployment.ROUTERS, now);
		List<Allotment> unwritten = ledger.pollAllotmentsToWrite();
		if (unwritten != null) {
			ledger.confirmWritten(unwritten);
		}
		return answer;
	}

}
