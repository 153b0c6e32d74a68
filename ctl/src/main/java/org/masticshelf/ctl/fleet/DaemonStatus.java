package org.masticshelf.ctl.fleet;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.jspecify.annotations.Nullable;

/**
 * What one daemon answered to the operation {@code status}.
 * <p>
 * Immutable, provided that the JSON value is not changed.
 *
 * @param address the IP number and port of its control listener
 * @param answer the answer, {@code null} if there was none
 * @param failure why there was no answer, empty if there was one
 */
public record DaemonStatus(String address, @Nullable JsonNode answer, String failure) {

	/**
	 * Returns the revision that is in force at the daemon.
	 * @return the revision, or -1 if the daemon did not tell
	 */
	public long revision() {
		return field("revision").asLong(-1);
	}

	/**
	 * Returns the failure domain of the daemon.
	 * @return the failure domain, empty if the daemon did not tell
	 */
	public String failureDomain() {
		return field("failureDomain").asText("");
	}

	/**
	 * Returns all failure domains that the daemon knows of.
	 * @return the failure domains, empty if the daemon did not tell
	 */
	public List<String> failureDomains() {
		List<String> domains = new ArrayList<>();
		field("failureDomains").forEach((domain) -> domains.add(domain.asText()));
		return domains;
	}

	/**
	 * Returns the daemons of its failure domain that the daemon knows to be running.
	 * @return the addresses of their control listeners, empty if the daemon did not tell
	 */
	public List<String> domainMembers() {
		List<String> members = new ArrayList<>();
		field("domainMembers").forEach((address) -> members.add(address.asText()));
		return members;
	}

	/**
	 * Returns the status for people.
	 * @return one line
	 */
	public String toLine() {
		if (this.answer == null) {
			return this.address + " no answer: " + this.failure;
		}
		StringBuilder line = new StringBuilder(this.address);
		this.answer.properties()
			.forEach((field) -> line.append(' ').append(field.getKey()).append('=').append(text(field.getValue())));
		return line.toString();
	}

	private static String text(JsonNode value) {
		return value.isValueNode() ? value.asText() : value.toString();
	}

	private JsonNode field(String name) {
		return (this.answer != null) ? this.answer.path(name) : NullNode.getInstance();
	}

}
