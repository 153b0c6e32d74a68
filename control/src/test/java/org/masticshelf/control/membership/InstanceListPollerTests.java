package org.masticshelf.control.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.port.InstanceList;

class InstanceListPollerTests {

	private final List<InstanceList.Instance> listed = new ArrayList<>();

	private final InstanceListPoller poller = new InstanceListPoller(new InstanceList() {

		@Override
		public CompletableFuture<List<Instance>> read() {
			return CompletableFuture.completedFuture(List.copyOf(InstanceListPollerTests.this.listed));
		}

		@Override
		public void close() {
			InstanceListPollerTests.this.listed.clear();
		}

	}, (event) -> {
	});

	@ParameterizedTest(name = "e1 listed {0} times, then {1} lists with e2 and {2} empty ones")
	@CsvSource({ "1,30,0,true", "1,29,0,false", "1,29,5,false", "0,60,0,false" })
	void unlistedOnlyAfterThirtySuccessiveListsWithoutIt(int with, int without, int empty, boolean unlisted) {
		read("e1", with);
		read("e2", without);
		this.listed.clear();
		for (int round = 0; round < empty; round++) {
			this.poller.round().join();
		}
		Truth.assertThat(this.poller.unlisted().contains("e1")).isEqualTo(unlisted);
	}

	private void read(String identifier, int rounds) {
		this.listed.clear();
		this.listed.add(new InstanceList.Instance(identifier, "127.0.0.1:1", "domain", InstanceList.State.LIVE));
		for (int round = 0; round < rounds; round++) {
			this.poller.round().join();
		}
	}

}
