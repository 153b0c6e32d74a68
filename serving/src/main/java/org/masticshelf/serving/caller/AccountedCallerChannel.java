package org.masticshelf.serving.caller;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpServerExchange;

import org.masticshelf.serving.caller.CallerMemory.AnswerAccount;
import org.masticshelf.serving.caller.CallerMemory.BodyAccount;

/**
 * Answers a caller over Undertow and accounts for the bytes that are held for it.
 * <p>
 * Invariants: at most {@value #READ_AHEAD_BYTES} bytes are queued that the caller has not
 * taken; a caller that stalls counts as disconnected, which is no failure of the endpoint
 * whose answer it does not take. Thread-safe.
 */
final class AccountedCallerChannel extends UndertowCallerChannel {

	private static final int READ_AHEAD_BYTES = 256 * 1024;

	/** Larger writes are divided, so that room is used as soon as the caller makes it. */
	private static final int MAXIMUM_PART_BYTES = 16 * 1024;

	/** A caller that accepts no bytes for this long counts as disconnected. */
	private static final long STALL_TIMEOUT_SECONDS = 30;

	private final Semaphore room = new Semaphore(READ_AHEAD_BYTES);

	private final AtomicLong taken = new AtomicLong();

	private final BodyAccount body;

	private final AnswerAccount answer;

	AccountedCallerChannel(HttpServerExchange exchange, String identifier, CallerMemory memory, BodyAccount body) {
		super(exchange, identifier);
		this.body = body;
		this.answer = memory.openAnswer(identifier, this::disconnect);
		if (isGone()) {
			this.answer.release();
		}
	}

	@Override
	public long readAheadBytes() {
		return READ_AHEAD_BYTES;
	}

	@Override
	public void releaseBody() {
		this.body.release();
	}

	@Override
	public void write(byte[] bytes) throws IOException {
		for (int offset = 0; offset < bytes.length; offset += MAXIMUM_PART_BYTES) {
			int end = Math.min(bytes.length, offset + MAXIMUM_PART_BYTES);
			writePart((end - offset < bytes.length) ? Arrays.copyOfRange(bytes, offset, end) : bytes);
		}
	}

	private void writePart(byte[] part) throws IOException {
		try {
			awaitRoom(part.length);
			this.answer.add(part.length);
			super.write(part);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		catch (IOException ex) {
			disconnect();
			throw ex;
		}
	}

	private void awaitRoom(int bytes) throws InterruptedException, IOException {
		while (true) {
			long before = this.taken.get();
			// Writing fails then.
			if (isGone() || this.room.tryAcquire(bytes, STALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				return;
			}
			if (this.taken.get() == before) {
				throw new IOException("the caller takes nothing");
			}
		}
	}

	@Override
	void recordTaken(int bytes) {
		this.taken.addAndGet(bytes);
		this.answer.take(bytes);
		this.room.release(bytes);
	}

	@Override
	void recordNothingHeld() {
		AnswerAccount account = this.answer;
		// The connection may close while this channel is being created.
		if (account != null) {
			account.release();
			this.room.release(MAXIMUM_PART_BYTES);
		}
	}

}
