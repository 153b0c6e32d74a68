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
 * The JSON form of exchanges and of written allotments. Fields that hold 0 are left out.
 * <p>
 * Stateless and safe for use by several threads.
 */
public final class GrantMessages {

	/** The operation of the peer channel. */
	static final String OPERATION = "grant/exchange";

	/** Over how many duties the organisations are spread. */
	static final int SHARDS = 16;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, null))
		.build();

	private static final TypeReference<List<Allotment>> ALLOTMENTS = new TypeReference<>() {
	};

	private GrantMessages() {
	}

	/**
	 * Returns the duty under which an organisation's grant is kept.
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
	 * Returns the key of an organisation's written allotments.
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
	 * Renders allotments for the key-value service.
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
	 * The requests of one daemon for the organisations of one shard.
	 *
	 * @param shard the number of the shard
	 * @param sender the daemon
	 * @param requests the requests, one an organisation
	 */
	public record Call(int shard, GrantRequest.Sender sender, List<GrantRequest> requests) {
	}

	/**
	 * The answers to a call; a request that could not be answered has none.
	 *
	 * @param answers the answers
	 */
	public record Reply(List<GrantAnswer> answers) {

		/** A reply without answers. */
		static final Reply EMPTY = new Reply(List.of());

		/**
		 * Creates a reply.
		 * @param answers the answers, absent in JSON if there are none
		 */
		@SuppressWarnings("ConstantValue")
		public Reply {
			answers = (answers != null) ? List.copyOf(answers) : List.of();
		}

	}

}
