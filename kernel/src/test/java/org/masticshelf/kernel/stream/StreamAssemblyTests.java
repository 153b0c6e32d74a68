package org.masticshelf.kernel.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticshelf.kernel.refusal.Refusal;

class StreamAssemblyTests {

	/**
	 * Simulates a stream that is interrupted at random, repeats pieces after a
	 * resumption, loses pieces and contains pieces of another request. The caller must
	 * always hold a prefix of the answer, and the whole of it if it is told so.
	 * @param length the length of the answer in tokens
	 * @param seed determines interruptions, repetitions, losses and foreign pieces
	 */
	@Property(tries = 2_000, seed = "5")
	void callerHoldsPrefixAndWholeAnswerIfToldSo(@ForAll @IntRange(max = 60) int length, @ForAll long seed) {
		Random random = new Random(seed);
		StreamAssembly assembly = new StreamAssembly("own", true);
		List<Integer> received = new ArrayList<>();
		StreamOutcome outcome = exchange(assembly, received, 0, length, random);
		while (outcome instanceof StreamOutcome.Resume resume) {
			int from = Math.max(0, resume.afterTokens() - random.nextInt(3));
			outcome = exchange(assembly, received, from, length, random);
		}
		Truth.assertThat(received).isEqualTo(IntStream.range(0, received.size()).boxed().toList());
		if (outcome instanceof StreamOutcome.Whole) {
			Truth.assertThat(received).hasSize(length);
		}
	}

	private static StreamOutcome exchange(StreamAssembly assembly, List<Integer> received, int from, int length,
			Random random) {
		int position = from;
		while (position < length) {
			int tokens = Math.min(1 + random.nextInt(4), length - position);
			int event = random.nextInt(40);
			if (event == 0) {
				return assembly.exchangeInterrupted(true);
			}
			if (event == 1) {
				return assembly.exchangeFinished(random.nextBoolean(), length, true);
			}
			if (event > 2) {
				Step step = assembly.accept(new Piece((event == 3) ? "other" : "own", position, tokens));
				if (step == Step.FORWARD) {
					IntStream.range(position, position + tokens).forEach(received::add);
				}
				if (step.breaksExchange()) {
					return assembly.exchangeInterrupted(true);
				}
			}
			position += tokens;
		}
		return assembly.exchangeFinished(true, length, true);
	}

	@ParameterizedTest
	@CsvSource({ "true, 5, Whole", "false, 5, NO_FINAL_EVENT", "true, 6, SHORT", "true, 4, LONG" })
	void checksFinalEventAndLength(boolean finalEvent, long counted, String expected) {
		StreamAssembly assembly = new StreamAssembly("own", false);
		assembly.accept(Piece.unnumbered("own", 5));
		StreamOutcome outcome = assembly.exchangeFinished(finalEvent, counted, true);
		String actual = (outcome instanceof StreamOutcome.Broken broken) ? broken.cause().name()
				: outcome.getClass().getSimpleName();
		Truth.assertThat(actual).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "own, 5, 1, FORWARD", "own, -1, 2, FORWARD", "own, 3, 2, REPEATED", "own, 6, 1, GAP",
			"own, 4, 2, OVERLAP", "other, 5, 1, OTHER_REQUEST" })
	void classifiesPieceAfterFiveTokens(String identity, long firstToken, int tokens, Step expected) {
		StreamAssembly assembly = new StreamAssembly("own", true);
		assembly.accept(new Piece("own", 0, 5));
		Truth.assertThat(assembly.accept(new Piece(identity, firstToken, tokens))).isEqualTo(expected);
	}

	@Test
	void pieceAfterDefectIsLate() {
		StreamAssembly assembly = new StreamAssembly("own", true);
		assembly.accept(new Piece("own", 2, 1));
		Truth.assertThat(assembly.accept(new Piece("own", 0, 1))).isEqualTo(Step.LATE);
	}

	@ParameterizedTest
	@CsvSource({ "false, true, 0", "true, false, 0", "true, true, 3" })
	void resumesOnlyIfPermittedInTimeAndUpToTheMaximum(boolean resumable, boolean timeLeft, int expected) {
		StreamAssembly assembly = new StreamAssembly("own", resumable);
		int resumptions = 0;
		StreamOutcome outcome = assembly.exchangeInterrupted(timeLeft);
		while (outcome instanceof StreamOutcome.Resume) {
			resumptions++;
			outcome = assembly.exchangeInterrupted(timeLeft);
		}
		Truth.assertThat(resumptions).isEqualTo(expected);
		Truth.assertThat(((StreamOutcome.Broken) outcome).refusal().ran()).isEqualTo(Refusal.Execution.UNKNOWN);
	}

}
