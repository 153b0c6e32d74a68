package org.masticshelf.serving.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticshelf.serving.request.AnswerMemory.Account;

class AnswerMemoryTests {

	private static final long LIMIT = 20_000_000;

	private static final long STEP = 64 * 1024;

	private final AnswerMemory memory = new AnswerMemory(LIMIT);

	/**
	 * Replays many endpoints that send without end, side by side.
	 * @param answers the number of answers
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 24, 200, 500 })
	void endlessAnswersLeaveRoomForOthers(int answers) throws IOException {
		List<Account> endless = new ArrayList<>();
		for (int number = 0; number < answers; number++) {
			endless.add(this.memory.open());
		}
		for (long bytes = STEP; bytes < LIMIT; bytes += STEP) {
			for (Account account : endless) {
				holds(account, bytes);
			}
		}
		Truth.assertThat(this.memory.countedBytes()).isAtMost(LIMIT);
		long free = LIMIT - this.memory.countedBytes();
		Truth.assertThat(free).isAtLeast(LIMIT / (answers + 2));
		try (Account ordinary = this.memory.open()) {
			Truth.assertThat(holds(ordinary, AnswerMemory.UNCOUNTED_BYTES + free / 2)).isTrue();
		}
		endless.forEach(Account::close);
		Truth.assertThat(this.memory.countedBytes()).isEqualTo(0);
	}

	@Test
	void smallAnswersAreNotCounted() throws IOException {
		try (Account full = this.memory.open(); Account small = this.memory.open()) {
			Truth.assertThat(holds(full, LIMIT / 2)).isTrue();
			Truth.assertThat(holds(small, AnswerMemory.UNCOUNTED_BYTES)).isTrue();
			Truth.assertThat(this.memory.countedBytes()).isEqualTo(LIMIT / 2 - AnswerMemory.UNCOUNTED_BYTES);
		}
	}

	@Test
	void roomIsGivenBackAsAnAnswerShrinks() throws IOException {
		try (Account account = this.memory.open()) {
			Truth.assertThat(holds(account, LIMIT / 2)).isTrue();
			Truth.assertThat(holds(account, LIMIT)).isFalse();
			Truth.assertThat(holds(account, 0)).isTrue();
			Truth.assertThat(this.memory.countedBytes()).isEqualTo(0);
		}
	}

	private static boolean holds(Account account, long bytes) {
		try {
			account.hold(bytes);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
