package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads the fields of a JSON object and collects all problems with the paths of their fields. */
final class FieldReader {

    private final JsonNode node;
    private final String location;
    private final List<CatalogueProblem> problems;

    /**
     * Creates a reader.
     *
     * @param node the object, not null
     * @param location the path of the object; empty for the root, not null
     * @param problems the list to which problems are added, not null
     */
    FieldReader(JsonNode node, String location, List<CatalogueProblem> problems) {
        this.node = node;
        this.location = location;
        this.problems = problems;
    }

    /**
     * Reports each unknown field; otherwise a misspelt optional field would be ignored silently.
     *
     * @param names the names of the known fields, not null
     */
    void rejectUnknownFields(String... names) {
        if (!node.isObject()) {
            addProblem("", "must be an object");
            return;
        }
        Set<String> known = Set.copyOf(Arrays.asList(names));
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                addProblem(name, "unknown field");
            }
        });
    }

    String string(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            addProblem(name, value.isMissingNode() ? "is missing" : "must be a string");
            return "";
        }
        return value.textValue();
    }

    String string(String name, String defaultValue) {
        return node.has(name) ? string(name) : defaultValue;
    }

    boolean bool(String name) {
        JsonNode value = node.path(name);
        if (!value.isBoolean()) {
            addProblem(name, value.isMissingNode() ? "is missing" : "must be true or false");
        }
        return value.asBoolean();
    }

    long integer(String name, long min, long max) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            addProblem(name, value.isMissingNode() ? "is missing" : "must be an integer");
            return min;
        }
        if (value.longValue() < min || value.longValue() > max) {
            addProblem(name, "must be from " + min + " to " + max + ", not " + value.longValue());
            return min;
        }
        return value.longValue();
    }

    long integer(String name, long min, long max, long defaultValue) {
        return node.has(name) ? integer(name, min, max) : defaultValue;
    }

    <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        E[] constants = type.getEnumConstants();
        String value = node.path(name).asText("");
        for (E constant : constants) {
            if (constant.name().equals(value)) {
                return constant;
            }
        }
        String allowed = Arrays.stream(constants).map(Enum::name).collect(Collectors.joining(", "));
        addProblem(name, (node.has(name) ? "must be one of " : "is missing; must be one of ") + allowed);
        return constants[0];
    }

    List<String> strings(String name) {
        List<String> result = new ArrayList<>();
        for (FieldReader item : items(name)) {
            if (item.node.isTextual()) {
                result.add(item.node.textValue());
            } else {
                item.addProblem("", "must be a string");
            }
        }
        return result;
    }

    List<FieldReader> items(String name) {
        JsonNode list = node.path(name);
        if (!list.isMissingNode() && !list.isArray()) {
            addProblem(name, "a list is wanted");
        }
        List<FieldReader> result = new ArrayList<>();
        if (list.isArray()) {
            for (int i = 0; i < list.size(); i++) {
                result.add(new FieldReader(list.get(i), path(name) + "[" + i + "]", problems));
            }
        }
        return result;
    }

    FieldReader object(String name) {
        return new FieldReader(node.path(name), path(name), problems);
    }

    boolean has(String name) {
        return node.has(name);
    }

    void addProblem(String name, String detail) {
        problems.add(new CatalogueProblem(name.isEmpty() ? location : path(name), detail));
    }

    private String path(String name) {
        return location.isEmpty() ? name : location + "." + name;
    }
}
