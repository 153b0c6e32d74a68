package org.masticshelf.kernel.access;

import java.util.List;

import com.google.common.truth.Truth;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.configuration.Configuration;
import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.OrganisationKey;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.configuration.Route;
import org.masticshelf.kernel.configuration.Tables;

class AccessPolicyTests {

	private static final long NOW_EPOCH_SECONDS = 1_000;

	private static final Configuration CONFIGURATION = new Configuration(1,
			new Tables(
					List.of(route("sofia/crest", Route.Access.KEY), route("bengal-east/crest", Route.Access.KEY),
							route("sofia/help", Route.Access.OPEN)),
					List.of(new Pool(QualifiedName.of("sofia/pool"), Route.Kind.PLAIN, "none", List.of(), List.of())),
					List.of(new Organisation(QualifiedName.of("sofia/clerk"), 10, 10, 1)),
					List.of(key("good", 0, false), key("later", NOW_EPOCH_SECONDS + 1, false),
							key("expired", NOW_EPOCH_SECONDS, false), key("withdrawn", 0, true))));

	private static Route route(String name, Route.Access access) {
		return new Route(QualifiedName.of(name), QualifiedName.of("sofia/pool"), Route.Kind.PLAIN, null, null, access,
				true, 1000, 1000);
	}

	private static OrganisationKey key(String digest, long expires, boolean withdrawn) {
		return new OrganisationKey(digest, QualifiedName.of("sofia/clerk"), expires, withdrawn);
	}

	@ParameterizedTest
	@CsvSource({ "good,crest,true,granted sofia/crest for sofia/clerk",
			"good,sofia/crest,true,granted sofia/crest for sofia/clerk",
			"later,crest,true,granted sofia/crest for sofia/clerk", "good,bengal-east/crest,true,route_unknown",
			"good,none,true,route_unknown", "good,NOT A NAME,true,route_unknown", "expired,crest,true,key_rejected",
			"withdrawn,crest,true,key_rejected", "unissued,crest,true,key_rejected", ",sofia/crest,true,key_missing",
			",crest,true,key_missing", "good,crest,false,isolated", "withdrawn,crest,false,isolated",
			",sofia/help,false,granted sofia/help for none", "withdrawn,sofia/help,true,granted sofia/help for none" })
	void decides(@Nullable String digest, String name, boolean trusted, String expected) {
		AccessDecision decision = AccessPolicy.INSTANCE.decide(CONFIGURATION, new AccessPolicy.Request(digest, name),
				trusted, NOW_EPOCH_SECONDS);
		Truth.assertThat(render(decision)).isEqualTo(expected);
	}

	private static String render(AccessDecision decision) {
		return switch (decision) {
			case AccessDecision.Granted granted ->
				"granted " + granted.route().name() + " for " + granted.toEvent().field("organisation");
			case AccessDecision.Denied denied -> denied.reason().code();
		};
	}

	@Test
	void listsRoutesOfOwnWorkshopOnly() {
		List<String> names = AccessPolicy.INSTANCE.visibleRoutes(CONFIGURATION, "good", NOW_EPOCH_SECONDS)
			.stream()
			.map((route) -> route.name().toString())
			.toList();
		Truth.assertThat(names).containsExactly("sofia/crest", "sofia/help");
	}

}
