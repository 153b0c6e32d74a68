package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** Starts a case by its number: writes its record and exits with 0, 1 or 2. */
public final class Main {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	private static PrintWriter record;

	private static long startedAt;

	private Main() {
	}

	interface Case {

		int run(boolean trouble, Path folder) throws Exception;

	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("review-3-");
		int status = COULD_NOT_RUN;
		startedAt = Store.now();
		try (PrintWriter file = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1])))) {
			record = file;
			log("case %s, trouble %s", arguments[0], trouble);
			Case found = (Case) Class.forName("review3." + arguments[0]).getDeclaredConstructor().newInstance();
			status = found.run(trouble, folder);
			log("exit %d", status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		finally {
			if (System.getenv("KEEP") == null) {
				try (var paths = Files.walk(folder)) {
					paths.sorted(Comparator.reverseOrder()).forEach((path) -> path.toFile().delete());
				}
			}
			else {
				System.out.println(folder);
			}
		}
		Runtime.getRuntime().halt(status);
	}

	static long elapsed() {
		return Store.now() - startedAt;
	}

	static synchronized void log(String format, Object... values) {
		String line = String.format("%8d ms  ", elapsed()) + String.format(format, values);
		record.println(line);
		record.flush();
		if (!line.contains("  request ")) {
			System.out.println(line);
		}
	}

	static void pause(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static void until(long milliseconds) throws IOException {
		pause(Math.max(0, milliseconds - elapsed()));
	}

}
