package org.masticshelf.kernel.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import org.masticshelf.kernel.configuration.Loadable;
import org.masticshelf.kernel.configuration.QualifiedName;

/**
 * Reads and writes loadables in records and messages between daemons.
 * <p>
 * Stateless and thread-safe.
 */
public final class LoadableCodec {

	private static final String POOL = "pool";

	private static final String MODEL = "model";

	private static final String ADAPTER = "adapter";

	private LoadableCodec() {
	}

	/**
	 * Writes a loadable into an object.
	 * @param loadable the loadable
	 * @param target receives the fields {@code pool}, {@code model} and, for an adapter,
	 * {@code adapter}
	 * @return the target
	 */
	public static ObjectNode write(Loadable loadable, ObjectNode target) {
		target.put(POOL, loadable.pool().toString()).put(MODEL, loadable.model());
		if (loadable.adapter() != null) {
			target.put(ADAPTER, loadable.adapter());
		}
		return target;
	}

	/**
	 * Reads a loadable from an object.
	 * @param source the object
	 * @return the loadable
	 * @throws IllegalArgumentException if the name of the pool is malformed
	 */
	public static Loadable read(JsonNode source) {
		String adapter = source.path(ADAPTER).asText();
		return new Loadable(QualifiedName.of(source.path(POOL).asText()), source.path(MODEL).asText(),
				adapter.isEmpty() ? null : adapter);
	}

	/**
	 * Returns the loadable that an engine knows by a name.
	 * @param pool the pool of the endpoint
	 * @param engineName the model or {@code model:adapter}
	 * @return the loadable
	 */
	public static Loadable ofEngineName(QualifiedName pool, String engineName) {
		int colon = engineName.indexOf(':');
		String model = (colon < 0) ? engineName : engineName.substring(0, colon);
		@Nullable String adapter = (colon < 0) ? null : engineName.substring(colon + 1);
		return new Loadable(pool, model, adapter);
	}

}
