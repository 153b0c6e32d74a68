package org.masticshelf.ctl;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

import org.masticshelf.control.configuration.ConfigurationWriter;
import org.masticshelf.control.configuration.StoredConfiguration;
import org.masticshelf.ctl.fleet.Daemons;
import org.masticshelf.kernel.port.KeyValueStore;
import org.masticshelf.kernel.port.PortProvider;

/**
 * The connections of one run of the tool, opened when they are first used.
 * <p>
 * Used by one thread.
 */
public final class Session implements AutoCloseable {

	private static final Duration ANSWER_BOUND = Duration.ofSeconds(30);

	private final ConnectionOptions options;

	private final InstantSource time;

	private final Daemons daemons;

	private @Nullable KeyValueStore store;

	/**
	 * Opens a session.
	 * @param options where to connect
	 * @param time the time of day, for the expiry of keys
	 */
	Session(ConnectionOptions options, InstantSource time) {
		this.options = options;
		this.time = time;
		this.daemons = new Daemons(options.daemons(), Duration.ofSeconds(options.waitSeconds()));
	}

	/**
	 * Returns the daemons to ask.
	 * @return the daemons
	 */
	public Daemons daemons() {
		return this.daemons;
	}

	/**
	 * Returns the time of day.
	 * @return the source of the time
	 */
	public InstantSource time() {
		return this.time;
	}

	/**
	 * Returns whether a key-value service is named.
	 * @return whether there is one
	 */
	public boolean hasKeyValue() {
		return this.options.hasKeyValue();
	}

	/**
	 * Returns the writer of accepted changes.
	 * @return the writer
	 */
	public ConfigurationWriter writer() {
		return ConfigurationWriter.of(store(), this.options.author());
	}

	/**
	 * Reads the newest accepted configuration.
	 * @return the configuration
	 */
	public StoredConfiguration read() {
		return await(writer().read());
	}

	/**
	 * Waits for an answer.
	 * @param answer the answer to come
	 * @param <T> the type of the answer
	 * @return the answer
	 * @throws CommandFailure if it does not come
	 */
	public <T> T await(CompletableFuture<T> answer) {
		try {
			return answer.get(ANSWER_BOUND.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw new CommandFailure("unavailable", "the key-value service gave no answer: " + reason(ex));
		}
		catch (TimeoutException ex) {
			throw new CommandFailure("unavailable", "no answer within " + ANSWER_BOUND.toSeconds() + " s");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandFailure("interrupted", "interrupted");
		}
	}

	@Override
	public void close() {
		this.daemons.close();
		if (this.store != null) {
			this.store.close();
		}
	}

	private static String reason(ExecutionException failure) {
		Throwable cause = failure.getCause();
		return String.valueOf((cause != null) ? cause.getMessage() : failure.getMessage());
	}

	private KeyValueStore store() {
		KeyValueStore open = this.store;
		if (open == null) {
			open = open();
			this.store = open;
		}
		return open;
	}

	private KeyValueStore open() {
		try {
			return PortProvider.open(KeyValueStore.class, this.options.keyValue());
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(String.valueOf(ex.getMessage()));
		}
	}

}
