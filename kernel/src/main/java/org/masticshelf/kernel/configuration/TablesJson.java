package org.masticshelf.kernel.configuration;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import org.jspecify.annotations.Nullable;

/**
 * Reads the tables that operators write and finds all misspelt, missing and malformed
 * members at once.
 * <p>
 * Stateless and therefore safe for use by several threads.
 */
public final class TablesJson {

	private TablesJson() {
	}

	/**
	 * Parses and validates tables.
	 * @param text the JSON text of the tables
	 * @return the tables or all their mistakes
	 */
	public static Result parse(String text) {
		try {
			return parse(ConfigurationJson.MAPPER.readTree(text));
		}
		catch (JsonProcessingException ex) {
			String place = "line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr();
			return new Result.Invalid(List.of(new Mistake("$", place + ": " + ex.getOriginalMessage())));
		}
	}

	/**
	 * Parses and validates tables.
	 * @param tree the JSON tree of the tables
	 * @return the tables or all their mistakes
	 */
	public static Result parse(JsonNode tree) {
		List<Mistake> mistakes = new ArrayList<>();
		check("$", tree, Tables.class, mistakes);
		if (!mistakes.isEmpty()) {
			return new Result.Invalid(List.copyOf(mistakes));
		}
		try {
			Tables tables = ConfigurationJson.MAPPER.treeToValue(tree, Tables.class);
			List<Mistake> found = TablesValidator.findMistakes(tables);
			return found.isEmpty() ? new Result.Valid(tables) : new Result.Invalid(found);
		}
		catch (JsonProcessingException ex) {
			return new Result.Invalid(List.of(new Mistake("$", ex.getOriginalMessage())));
		}
	}

	/**
	 * Renders tables for operators.
	 * @param tables the tables
	 * @return indented JSON
	 */
	public static String render(Tables tables) {
		try {
			return ConfigurationJson.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(tables);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("tables can always be written as JSON", ex);
		}
	}

	private static void check(String path, JsonNode node, Class<?> type, List<Mistake> mistakes) {
		if (!node.isObject()) {
			mistakes.add(new Mistake(path, "expected an object but found " + describe(node.getNodeType())));
			return;
		}
		Set<String> known = Arrays.stream(type.getRecordComponents())
			.map(RecordComponent::getName)
			.collect(Collectors.toSet());
		node.fieldNames().forEachRemaining((name) -> {
			if (!known.contains(name)) {
				mistakes.add(new Mistake(path + "." + name, "is no member of a " + type.getSimpleName()));
			}
		});
		for (RecordComponent component : type.getRecordComponents()) {
			checkMember(path + "." + component.getName(), node.get(component.getName()), component, mistakes);
		}
	}

	private static void checkMember(String path, @Nullable JsonNode value, RecordComponent component,
			List<Mistake> mistakes) {
		if (value == null || value.isNull()) {
			if (!component.getAnnotatedType().isAnnotationPresent(Nullable.class)) {
				mistakes.add(new Mistake(path, "is missing"));
			}
			return;
		}
		Type type = component.getGenericType();
		if (type instanceof ParameterizedType list) {
			checkList(path, value, (Class<?>) list.getActualTypeArguments()[0], mistakes);
		}
		else {
			checkValue(path, value, component.getType(), mistakes);
		}
	}

	private static void checkList(String path, JsonNode value, Class<?> rowType, List<Mistake> mistakes) {
		if (!value.isArray()) {
			mistakes.add(new Mistake(path, "expected a list but found " + describe(value.getNodeType())));
			return;
		}
		for (int index = 0; index < value.size(); index++) {
			check(path + "[" + index + "]", value.get(index), rowType, mistakes);
		}
	}

	private static void checkValue(String path, JsonNode value, Class<?> type, List<Mistake> mistakes) {
		String expected = describeExpected(type);
		boolean fits = switch (expected) {
			case "true or false" -> value.isBoolean();
			case "an integer" -> value.canConvertToExactIntegral() && fitsInto(value, type);
			default -> value.isTextual();
		};
		if (!fits) {
			mistakes.add(new Mistake(path, "expected " + expected + " but found " + value));
			return;
		}
		try {
			ConfigurationJson.MAPPER.treeToValue(value, type);
		}
		catch (JsonProcessingException ex) {
			mistakes.add(new Mistake(path, describeFailure(ex, value, type)));
		}
	}

	private static boolean fitsInto(JsonNode value, Class<?> type) {
		return value.isIntegralNumber() && ((type == int.class) ? value.canConvertToInt() : value.canConvertToLong());
	}

	private static String describeExpected(Class<?> type) {
		if (type == boolean.class) {
			return "true or false";
		}
		return (type == int.class || type == long.class) ? "an integer" : "a string";
	}

	private static String describeFailure(JsonProcessingException failure, JsonNode value, Class<?> type) {
		if (type.isEnum()) {
			return value + " is none of " + Arrays.toString(type.getEnumConstants());
		}
		Throwable cause = failure.getCause();
		return (cause != null && cause.getMessage() != null) ? cause.getMessage() : failure.getOriginalMessage();
	}

	private static String describe(JsonNodeType type) {
		return switch (type) {
			case ARRAY -> "a list";
			case OBJECT -> "an object";
			case STRING -> "a string";
			case NUMBER -> "a number";
			case BOOLEAN -> "true or false";
			default -> "nothing";
		};
	}

	/** The result of parsing tables. */
	public sealed interface Result {

		/**
		 * The tables can be applied.
		 *
		 * @param tables the tables
		 */
		record Valid(Tables tables) implements Result {
		}

		/**
		 * The tables hold mistakes.
		 *
		 * @param mistakes the mistakes, one or more
		 */
		record Invalid(List<Mistake> mistakes) implements Result {
		}

	}

}
