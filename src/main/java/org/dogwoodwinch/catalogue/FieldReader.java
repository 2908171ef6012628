package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads the fields of one JSON object and notes every fault with the field's place, instead of stopping at the first. */
final class FieldReader {

    private final JsonNode node;
    private final String place;
    private final List<CatalogueProblem> problems;

    /**
     * Creates a reader.
     *
     * @param node the object, not null
     * @param place where it is, empty for the root, not null
     * @param problems takes the faults, not null
     */
    FieldReader(JsonNode node, String place, List<CatalogueProblem> problems) {
        this.node = node;
        this.place = place;
        this.problems = problems;
    }

    /**
     * Notes every field that is not among the known ones; a misspelt optional field would otherwise be lost silently.
     *
     * @param names the known fields, not null
     */
    void knows(String... names) {
        if (!node.isObject()) {
            problem("", "an object is wanted");
            return;
        }
        Set<String> known = Set.copyOf(Arrays.asList(names));
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                problem(name, "unknown field");
            }
        });
    }

    String text(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            problem(name, value.isMissingNode() ? "is missing" : "a text is wanted");
            return "";
        }
        return value.textValue();
    }

    String text(String name, String otherwise) {
        return node.has(name) ? text(name) : otherwise;
    }

    boolean flag(String name) {
        JsonNode value = node.path(name);
        if (!value.isBoolean()) {
            problem(name, value.isMissingNode() ? "is missing" : "true or false is wanted");
        }
        return value.asBoolean();
    }

    long number(String name, long least, long most) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            problem(name, value.isMissingNode() ? "is missing" : "a whole number is wanted");
            return least;
        }
        if (value.longValue() < least || value.longValue() > most) {
            problem(name, "must be from " + least + " to " + most + ", not " + value.longValue());
            return least;
        }
        return value.longValue();
    }

    long number(String name, long least, long most, long otherwise) {
        return node.has(name) ? number(name, least, most) : otherwise;
    }

    <E extends Enum<E>> E choice(String name, Class<E> type) {
        E[] constants = type.getEnumConstants();
        String given = node.path(name).asText("");
        for (E constant : constants) {
            if (constant.name().equals(given)) {
                return constant;
            }
        }
        String wanted = Arrays.stream(constants).map(Enum::name).collect(Collectors.joining(", "));
        problem(name, (node.has(name) ? "one of " : "is missing; one of ") + wanted + " is wanted");
        return constants[0];
    }

    List<String> texts(String name) {
        List<String> result = new ArrayList<>();
        for (FieldReader item : items(name)) {
            if (item.node.isTextual()) {
                result.add(item.node.textValue());
            } else {
                item.problem("", "a text is wanted");
            }
        }
        return result;
    }

    List<FieldReader> items(String name) {
        JsonNode list = node.path(name);
        if (!list.isMissingNode() && !list.isArray()) {
            problem(name, "a list is wanted");
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

    void problem(String name, String detail) {
        problems.add(new CatalogueProblem(name.isEmpty() ? place : path(name), detail));
    }

    private String path(String name) {
        return place.isEmpty() ? name : place + "." + name;
    }
}
