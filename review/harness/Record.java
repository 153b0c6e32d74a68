import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered or run. Thread-safe. */
final class Record {

	private static final long BEGUN = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static long now() {
		return (System.nanoTime() - BEGUN) / 1_000_000;
	}

	synchronized void line(String format, Object... arguments) {
		String text = String.format("%8d ms  ", now()) + String.format(format, arguments);
		this.out.println(text);
		this.out.flush();
	}

	synchronized void verdict(String format, Object... arguments) {
		String text = String.format(format, arguments);
		line("%s", text);
		System.out.println(text);
	}

}
