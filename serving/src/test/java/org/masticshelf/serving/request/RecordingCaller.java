package org.masticshelf.serving.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.masticshelf.kernel.serving.ServedRequest.Header;
import org.masticshelf.serving.caller.CallerChannel;

/**
 * A caller that records its answer. Thread-safe.
 */
final class RecordingCaller implements CallerChannel {

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final List<Runnable> goneActions = new CopyOnWriteArrayList<>();

	private int status;

	private List<Header> headers = List.of();

	private boolean ended;

	private boolean aborted;

	private volatile boolean gone;

	private volatile boolean leaving;

	@Override
	public synchronized void begin(int status, List<Header> headers, long length) {
		if (this.status != 0) {
			throw new IllegalStateException("a second answer");
		}
		this.status = status;
		this.headers = headers;
	}

	@Override
	public synchronized void write(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public synchronized void end() {
		this.ended = true;
	}

	@Override
	public synchronized void abort() {
		this.aborted = true;
	}

	@Override
	public boolean isGone() {
		return this.gone;
	}

	@Override
	public Registration onGone(Runnable action) {
		if (this.gone) {
			action.run();
		}
		this.goneActions.add(action);
		return () -> {
			if (this.leaving) {
				disconnect();
			}
			this.goneActions.remove(action);
		};
	}

	@Override
	public void closeAfterAnswer() {
		// There is no connection.
	}

	/** Disconnects the caller as soon as an action is about to be removed. */
	void disconnectWhenActionIsRemoved() {
		this.leaving = true;
	}

	/** Disconnects the caller. */
	void disconnect() {
		this.gone = true;
		this.goneActions.forEach(Runnable::run);
	}

	/** Returns how many actions still wait for the caller to disconnect. */
	int countGoneActions() {
		return this.goneActions.size();
	}

	synchronized int status() {
		return this.status;
	}

	synchronized String body() {
		return this.body.toString(StandardCharsets.ISO_8859_1);
	}

	/** Returns whether the answer is complete. */
	synchronized boolean isComplete() {
		return this.ended && !this.aborted;
	}

	/** Returns whether the answer was aborted. */
	synchronized boolean isAborted() {
		return this.aborted;
	}

	synchronized String header(String name) {
		return this.headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.findFirst()
			.orElseThrow()
			.value();
	}

	synchronized boolean hasHeader(String name) {
		return this.headers.stream().anyMatch((header) -> header.name().equalsIgnoreCase(name));
	}

}
