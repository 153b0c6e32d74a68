package org.masticshelf.control.configuration;

import java.util.SortedMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Head;
import org.masticshelf.kernel.configuration.Manifest;
import org.masticshelf.kernel.port.ExchangeFailure;

/**
 * The messages about the configuration that daemons exchange.
 * <p>
 * Stateless and therefore safe for use by several threads.
 */
final class PeerMessages {

	/** Requests a {@link HeadAnswer}. */
	static final String HEAD = "configuration/head";

	/** Requests a {@link ChangesAnswer} with a {@link ChangesQuestion}. */
	static final String CHANGES = "configuration/changes";

	/** Requests {@link NamedPages} of texts with {@link NamedPages} of digests. */
	static final String PAGES = "configuration/pages";

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.build();

	private PeerMessages() {
	}

	/**
	 * Converts a message to JSON.
	 * @param message the message
	 * @return the JSON tree
	 */
	static JsonNode toJson(Object message) {
		return MAPPER.valueToTree(message);
	}

	/**
	 * Converts JSON to a message.
	 * @param tree the JSON tree
	 * @param type the type of the message
	 * @param <T> the type of the message
	 * @return the message
	 * @throws ExchangeFailure if the tree has another form
	 */
	static <T> T fromJson(JsonNode tree, Class<T> type) {
		try {
			T message = MAPPER.convertValue(tree, type);
			if (message != null) {
				return message;
			}
		}
		catch (IllegalArgumentException ex) {
			throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER,
					"malformed " + type.getSimpleName() + ": " + ex.getMessage());
		}
		throw new ExchangeFailure(ExchangeFailure.Point.INVALID_ANSWER, "no " + type.getSimpleName());
	}

	/**
	 * The revision that a daemon has in force and how fresh it is.
	 *
	 * @param revision the revision
	 * @param manifest the digest of the manifest
	 * @param ageMilliseconds how long ago the revision was certainly the head
	 * @param reachesService whether the key-value service answered recently
	 * @param vouched whether the daemon can vouch for its revision
	 * @param failureDomain the failure domain of the daemon
	 */
	record HeadAnswer(long revision, String manifest, long ageMilliseconds, boolean reachesService, boolean vouched,
			String failureDomain) {
	}

	/**
	 * Asks for the changes since a manifest.
	 *
	 * @param manifest the digest of the manifest that the asking daemon has in force
	 */
	record ChangesQuestion(String manifest) {
	}

	/**
	 * The changes since the manifest that was named.
	 *
	 * @param head the head in force
	 * @param changed the difference from the manifest that was named, or {@code null} if
	 * that is not remembered
	 * @param whole the whole manifest if there is no difference, else {@code null}
	 */
	record ChangesAnswer(Head head, @Nullable SortedMap<String, String> changed, @Nullable Manifest whole) {

		/**
		 * Computes the manifest of the head.
		 * @param known the manifest that was named
		 * @return the manifest
		 */
		Manifest toManifest(Manifest known) {
			if (this.changed != null) {
				return known.withDifference(this.changed);
			}
			return (this.whole != null) ? this.whole : Manifest.EMPTY;
		}

	}

	/**
	 * Pages by name.
	 *
	 * @param pages the digest or the text of each page by its name
	 */
	record NamedPages(SortedMap<String, String> pages) {
	}

}
