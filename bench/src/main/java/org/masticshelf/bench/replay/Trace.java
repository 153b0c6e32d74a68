package org.masticshelf.bench.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A trace: JSON lines, the header first.
 * <p>
 * Immutable.
 *
 * @param header the header
 * @param events the events in the order of their times
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Creates a trace.
	 */
	public Trace {
		events = List.copyOf(events);
	}

	/**
	 * Reads a trace.
	 * @param file the file
	 * @return the trace
	 * @throws IOException if the file cannot be read or is malformed
	 */
	public static Trace read(Path file) throws IOException {
		List<String> lines = Files.readAllLines(file);
		List<TraceEvent> events = new ArrayList<>();
		for (String line : lines.subList(1, lines.size())) {
			events.add(MAPPER.readValue(line, TraceEvent.class));
		}
		return new Trace(MAPPER.readValue(lines.get(0), TraceHeader.class), events);
	}

	/**
	 * Writes this trace.
	 * @param file the file to replace
	 * @throws IOException if it cannot be written
	 */
	public void write(Path file) throws IOException {
		List<String> lines = new ArrayList<>();
		lines.add(MAPPER.writeValueAsString(this.header));
		for (TraceEvent event : this.events) {
			lines.add(MAPPER.writerFor(TraceEvent.class).writeValueAsString(event));
		}
		Files.write(file, lines);
	}

}
