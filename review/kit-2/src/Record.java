import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt, one line an event, with seconds since the start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long begun = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile(), java.nio.charset.StandardCharsets.UTF_8);
	}

	double seconds() {
		return (System.nanoTime() - this.begun) / 1e9;
	}

	synchronized void note(String text) {
		this.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
		this.out.flush();
	}

	synchronized void say(String text) {
		note(text);
		System.out.println(text);
	}

	@Override
	public void close() {
		this.out.close();
	}

}
