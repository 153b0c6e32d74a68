package org.masticshelf.kernel.freshness;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FreshnessDecisionTests {

	private static final long OWN_REVISION = 5;

	// Each report is domain:age:reaches:vouched:revision.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			0                   | true  | a,b,c |                                        | Fresh
			2999                | true  | a,b,c |                                        | Fresh
			2999                | true  | a,b,c | b:0:true:true:9                        | Fresh
			3000                | true  | a,b,c |                                        | Isolated
			3000                | true  | a,b,c | a:0:false:true:5                       | Isolated
			3000                | true  | a,b,c | b:0:false:true:5                       | PresumedOutage
			3000                | true  | a,b,c | b:1999:false:true:4                    | PresumedOutage
			3000                | true  | a,b,c | b:2000:false:true:5                    | Isolated
			3000                | true  | a,b,c | b:0:true:true:5                        | Isolated
			3000                | true  | a,b,c | b:0:false:true:6                       | Isolated
			3000                | true  | a,b,c | b:0:false:true:5,c:0:true:true:5       | Isolated
			3000                | true  | a,b,c | b:0:false:true:5,c:2000:true:true:6    | PresumedOutage
			3000                | true  | a,b,c | b:0:false:false:5                      | Isolated
			3000                | true  | a,b,c | b:0:false:false:5,b:0:false:true:5     | PresumedOutage
			3000                | false | a,b,c | b:0:false:true:5                       | Isolated
			3000                | false | a,b,c | b:0:false:true:5,c:0:false:true:5      | PresumedOutage
			3000                | false | a,b,c | a:0:false:true:5,b:0:false:true:5      | PresumedOutage
			9223372036854775807 | false | a,b,c | b:0:false:true:5,c:0:false:true:5      | PresumedOutage
			3000                | true  | a     |                                        | PresumedOutage
			3000                | true  | a,b   |                                        | Isolated
			3000                | true  | a,b,c,d | b:0:false:true:5                     | Isolated
			3000                | true  | a,b,c,d | b:0:false:true:5,c:0:false:true:5    | PresumedOutage
			3000                | true  | a,b,c | x:0:false:true:5                       | Isolated
			""")
	void decides(long age, boolean vouched, String domains, String reports, String expected) {
		FreshnessFacts facts = new FreshnessFacts(age, vouched, OWN_REVISION, "a", Set.of(domains.split(",")),
				parse(reports));
		Truth.assertThat(FreshnessDecision.of(facts).getClass().getSimpleName()).isEqualTo(expected);
	}

	private static List<PeerReport> parse(String reports) {
		List<PeerReport> parsed = new ArrayList<>();
		if (reports != null) {
			for (String report : reports.split(",")) {
				String[] part = report.split(":");
				parsed.add(new PeerReport(part[0], Long.parseLong(part[1]), Boolean.parseBoolean(part[2]),
						Boolean.parseBoolean(part[3]), Long.parseLong(part[4])));
			}
		}
		return parsed;
	}

}
