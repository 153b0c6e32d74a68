package org.masticshelf.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Planned restarts under load. */
class RollingRestartTests {

	private static final int CALLERS = 6;

	private final Caller caller = new Caller(FleetTables.KEY);

	private final Map<String, Integer> outcomes = new ConcurrentHashMap<>();

	private final AtomicBoolean ended = new AtomicBoolean();

	@Test
	@Tag("known-red")
	void restartOfAllDaemonsFailsNoRequest() {
		try (FleetFixture fleet = FleetFixture.builder("rolling").start();
				ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			Truth.assertThat(FleetFixture.join(this.caller.chat(fleet.daemons.getFirst(), "crest", 2)).status())
				.isEqualTo(200);
			List<CompletableFuture<Void>> loops = new ArrayList<>();
			for (int index = 0; index < CALLERS; index++) {
				int first = index;
				loops.add(CompletableFuture.runAsync(() -> callRepeatedly(fleet, first), executor));
			}
			try {
				for (DaemonProcess daemon : fleet.daemons) {
					daemon.stop();
					daemon.start();
					daemon.awaitReady();
				}
			}
			finally {
				this.ended.set(true);
			}
			loops.forEach(FleetFixture::join);
			Truth.assertThat(this.outcomes.keySet()).containsExactly("200");
		}
	}

	private void callRepeatedly(FleetFixture fleet, int first) {
		for (int index = first; !this.ended.get(); index++) {
			Caller.Answer answer = callLikeABalancer(fleet, index);
			this.outcomes.merge((answer.status() == 200) ? "200" : answer.toString(), 1, Integer::sum);
		}
	}

	private Caller.Answer callLikeABalancer(FleetFixture fleet, int first) {
		Caller.Answer answer = new Caller.Answer(Caller.Answer.NOT_CONNECTED, "no daemon is ready");
		for (int attempt = 0; attempt < fleet.daemons.size() && answer.goesElsewhere(); attempt++) {
			DaemonProcess daemon = fleet.daemons.get((first + attempt) % fleet.daemons.size());
			if (this.caller.isReady(daemon)) {
				answer = FleetFixture.join(this.caller.chat(daemon, "crest", 8));
			}
		}
		return answer;
	}

}
