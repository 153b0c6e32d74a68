package org.masticshelf.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.masticshelf.kernel.configuration.Organisation;
import org.masticshelf.kernel.configuration.Pool;
import org.masticshelf.kernel.configuration.Tables;
import org.masticshelf.kernel.port.InstanceList;
import org.masticshelf.transport.json.Json;

/**
 * Lists the endpoints of a tables file for the script that starts stand-ins, one line
 * each of kind, identifier, port, memory, slots and whether fencing is checked. Used by
 * one thread.
 */
public final class DemoEndpoints {

	private DemoEndpoints() {
	}

	/**
	 * Runs the program.
	 * @param arguments the tables file, and the file to write the instance list to
	 * @throws IOException if a file cannot be read or written
	 */
	public static void main(String[] arguments) throws IOException {
		Tables tables = Json.toValue(Files.readAllBytes(Path.of(arguments[0])), Tables.class);
		List<InstanceList.Instance> instances = new ArrayList<>();
		for (Pool pool : tables.pools()) {
			for (Pool.Endpoint endpoint : pool.endpoints()) {
				print(pool, endpoint);
				instances.add(new InstanceList.Instance(endpoint.identifier(), endpoint.address(),
						endpoint.failureDomain(), InstanceList.State.LIVE));
			}
		}
		Files.write(Path.of(arguments[1]), Json.toBytes(instances));
		Organisation first = tables.organisations().getFirst();
		Files.writeString(Path.of(arguments[1] + ".organisation"), "ORGANISATION " + first.name() + "\n",
				StandardCharsets.UTF_8);
	}

	private static void print(Pool pool, Pool.Endpoint endpoint) {
		String port = endpoint.address().substring(endpoint.address().lastIndexOf(':') + 1);
		System.out.println(pool.kind() + " " + endpoint.identifier() + " " + port + " " + endpoint.memoryBytes() + " "
				+ endpoint.slots() + " " + endpoint.checksFencing());
	}

}
