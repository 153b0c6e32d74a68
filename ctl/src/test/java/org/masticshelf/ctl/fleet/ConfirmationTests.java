package org.masticshelf.ctl.fleet;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.transport.json.Json;

class ConfirmationTests {

	private static final long REVISION = 7;

	/**
	 * Judges daemons given as {@code address:domain:revision}, with a revision of 0 for
	 * one that does not answer; a1 and a2 are in domain a.
	 * @param daemons the daemons
	 * @param inForce whether the revision is in force
	 */
	@ParameterizedTest
	@CsvSource({ "a1:a:7 a2:a:7 b1:b:7 c1:c:7,true", "a1:a:7 a2:a:7 b1:b:7 c1:c:0,true",
			"a1:a:7 a2:a:0 b1:b:7 c1:c:0,false", "a1:a:7 a2:a:0 b1:b:7 c1:c:7,true", "a1:a:7 b1:b:7 c1:c:0,false",
			"a1:a:7 a2:a:6 b1:b:7 c1:c:7,false", "a1:a:7 a2:a:7 b1:b:0 c1:c:0,false", "a1:a:0 b1:b:0,false" })
	void needsAllDaemonsOfMajorityOfDomains(String daemons, boolean inForce) {
		List<DaemonStatus> statuses = new ArrayList<>();
		for (String daemon : daemons.split(" ")) {
			String[] parts = daemon.split(":");
			statuses.add(status(parts[0], parts[1], Long.parseLong(parts[2])));
		}
		Truth.assertThat(new Confirmation(REVISION, statuses).inForce()).isEqualTo(inForce);
	}

	private static DaemonStatus status(String address, String domain, long revision) {
		if (revision == 0) {
			return new DaemonStatus(address, null, "no answer");
		}
		ObjectNode answer = Json.mapper().createObjectNode().put("failureDomain", domain).put("revision", revision);
		answer.putArray("failureDomains").add("a").add("b").add("c");
		if (domain.equals("a")) {
			answer.putArray("domainMembers").add("a1").add("a2");
		}
		return new DaemonStatus(address, answer, "");
	}

}
