package org.masticshelf.control.grant;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.masticshelf.kernel.configuration.QualifiedName;
import org.masticshelf.kernel.grant.Allotment;
import org.masticshelf.kernel.grant.GrantAnswer;
import org.masticshelf.kernel.grant.GrantRequest;

/**
 * Converts exchanges and stored allotments to and from JSON. Fields with the value 0 are
 * omitted.
 * <p>
 * Stateless and thread-safe.
 */
public final class GrantMessages {

	/** The operation of the peer channel. */
	static final String OPERATION = "grant/exchange";

	/** The number of duties over which the organisations are spread. */
	static final int SHARDS = 16;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, null))
		.build();

	private static final TypeReference<List<Allotment>> ALLOTMENTS = new TypeReference<>() {
	};

	private GrantMessages() {
	}

	/**
	 * Returns the shard to which an organisation's grant belongs.
	 * @param organisation the organisation
	 * @return the number of the shard
	 */
	static int shardOf(QualifiedName organisation) {
		return Math.floorMod(organisation.toString().hashCode(), SHARDS);
	}

	/**
	 * Returns the name of a shard's duty.
	 * @param shard the number of the shard
	 * @return the name
	 */
	static String dutyNameOf(int shard) {
		return "grant/" + shard;
	}

	/**
	 * Returns the key of an organisation's stored allotments.
	 * @param organisation the organisation
	 * @return the key
	 */
	static String allotmentsKeyOf(QualifiedName organisation) {
		return "masticshelf/grant/" + organisation;
	}

	/**
	 * Converts a message to JSON.
	 * @param message the message
	 * @return the JSON value
	 */
	public static JsonNode toJson(Object message) {
		return MAPPER.valueToTree(message);
	}

	/**
	 * Parses a message.
	 * @param json the JSON value
	 * @param type the type of the message
	 * @param <T> the type of the message
	 * @return the message
	 * @throws UncheckedIOException if the value has another form
	 */
	static <T> T parse(JsonNode json, Class<T> type) {
		try {
			return MAPPER.treeToValue(json, type);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException("malformed " + type.getSimpleName(), ex);
		}
	}

	/**
	 * Converts allotments to JSON for the key-value service.
	 * @param allotments the allotments
	 * @return the JSON text
	 */
	static String writeAllotments(List<Allotment> allotments) {
		return MAPPER.valueToTree(allotments).toString();
	}

	/**
	 * Parses allotments from the key-value service.
	 * @param text the JSON text
	 * @return the allotments
	 * @throws UncheckedIOException if the text has another form
	 */
	static List<Allotment> readAllotments(String text) {
		try {
			return MAPPER.readValue(text, ALLOTMENTS);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("malformed allotments", ex);
		}
	}

	/**
	 * Holds the requests of one daemon for the organisations of one shard.
	 *
	 * @param shard the number of the shard
	 * @param sender the daemon
	 * @param requests the requests, one for each organisation
	 */
	public record Call(int shard, GrantRequest.Sender sender, List<GrantRequest> requests) {
	}

	/**
	 * Holds the answers to a call; a request that could not be answered has none.
	 *
	 * @param answers the answers
	 */
	public record Reply(List<GrantAnswer> answers) {

		/** A reply without answers. */
		static final Reply EMPTY = new Reply(List.of());

		/**
		 * Creates a reply.
		 * @param answers the answers; the field is absent in JSON if there are none
		 */
		@SuppressWarnings("ConstantValue")
		public Reply {
			answers = (answers != null) ? List.copyOf(answers) : List.of();
		}

	}

}
