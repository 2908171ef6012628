package org.dogwoodwinch.settings;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dogwoodwinch.settings.LocatedValue.FlagValue;
import org.dogwoodwinch.settings.LocatedValue.NumberValue;
import org.dogwoodwinch.settings.LocatedValue.ObjectValue;
import org.dogwoodwinch.settings.LocatedValue.TextValue;

/**
 * Reads the fields of one section, tells every problem, and goes on with the default, so that one run finds them all.
 *
 * <p>{@link #close()} refuses the fields that nobody asked for: a misspelt field would otherwise be ignored, and the
 * operator would find out by its absence under load.
 */
final class SettingsSection {

    private static final String[] UNITS = {"Millis", "Bytes", "Count", "Ratio", "PerSecond"};

    private final String file;
    private final String path;
    private final ObjectValue object;
    private final Consumer<SettingsProblem> problems;
    private final Set<String> known = new HashSet<>();

    SettingsSection(String file, String path, ObjectValue object, Consumer<SettingsProblem> problems) {
        this.file = file;
        this.path = path;
        this.object = object;
        this.problems = problems;
    }

    boolean has(String name) {
        return object.fields().containsKey(name);
    }

    String requiredText(String name) {
        return value(name, TextValue.class, "a text")
                .map(TextValue::text)
                .filter(text -> !text.isBlank() || tell(name, "must not be empty"))
                .orElseGet(() -> {
                    if (!object.fields().containsKey(name)) {
                        tell(name, "is missing");
                    }
                    return "";
                });
    }

    String text(String name, String otherwise) {
        return value(name, TextValue.class, "a text").map(TextValue::text).orElse(otherwise);
    }

    long wholeNumber(String name, long least, long most, long otherwise) {
        Optional<NumberValue> found = value(name, NumberValue.class, "a number without quotes or unit");
        if (found.isEmpty()) {
            return otherwise;
        }
        double number = found.get().number();
        if (!found.get().whole()) {
            tell(name, "must be a whole number");
            return otherwise;
        }
        if (number < least || number > most) {
            tell(name, "must be from " + least + " to " + most + ", not " + (long) number);
            return otherwise;
        }
        return (long) number;
    }

    int wholeInt(String name, int least, int most, int otherwise) {
        return (int) wholeNumber(name, least, most, otherwise);
    }

    int requiredInt(String name, int least, int most) {
        if (!object.fields().containsKey(name)) {
            known.add(name);
            tell(name, "is missing");
        }
        return wholeInt(name, least, most, least);
    }

    double number(String name, double least, double most, double otherwise) {
        Optional<NumberValue> found = value(name, NumberValue.class, "a number without quotes");
        if (found.isEmpty()) {
            return otherwise;
        }
        double number = found.get().number();
        if (number < least || number > most) {
            tell(name, "must be from " + least + " to " + most + ", not " + number);
            return otherwise;
        }
        return number;
    }

    boolean flag(String name, boolean otherwise) {
        return value(name, FlagValue.class, "true or false")
                .map(FlagValue::flag)
                .orElse(otherwise);
    }

    /** Reads a section that may be left out: then its fields all take their defaults. */
    <T> T section(String name, Function<SettingsSection, T> reader) {
        ObjectValue found =
                value(name, ObjectValue.class, "an object").orElseGet(() -> new ObjectValue(object.line(), Map.of()));
        return readSection(name, found, reader);
    }

    /** Reads a section that is a feature: absent where it is left out. */
    <T> Optional<T> optionalSection(String name, Function<SettingsSection, T> reader) {
        return value(name, ObjectValue.class, "an object").map(found -> readSection(name, found, reader));
    }

    /** Tells a problem of a field, at its line where it is given; returns false, for use in filters. */
    boolean tell(String name, String detail) {
        LocatedValue value = object.fields().get(name);
        int line = value == null ? object.line() : value.line();
        problems.accept(new SettingsProblem(file, line, fieldPath(name), detail));
        return false;
    }

    void close() {
        object.fields().forEach((name, value) -> {
            if (!known.contains(name)) {
                problems.accept(new SettingsProblem(file, value.line(), fieldPath(name), unknownDetail(name)));
            }
        });
    }

    private <T> T readSection(String name, ObjectValue found, Function<SettingsSection, T> reader) {
        SettingsSection section = new SettingsSection(file, fieldPath(name), found, problems);
        T result = reader.apply(section);
        section.close();
        return result;
    }

    private <T extends LocatedValue> Optional<T> value(String name, Class<T> type, String wanted) {
        known.add(name);
        LocatedValue value = object.fields().get(name);
        if (value == null) {
            return Optional.empty();
        }
        if (!type.isInstance(value)) {
            tell(name, "must be " + wanted + ", not " + value.kindName());
            return Optional.empty();
        }
        return Optional.of(type.cast(value));
    }

    private String unknownDetail(String name) {
        for (String unit : UNITS) {
            if (known.contains(name + unit)) {
                return "lacks its unit: write " + name + unit;
            }
        }
        String lower = name.toLowerCase(Locale.ROOT);
        return known.stream()
                .filter(each -> each.toLowerCase(Locale.ROOT).equals(lower))
                .findFirst()
                .map(each -> "is unknown: write " + each)
                .orElseGet(() -> "is unknown here; known are " + String.join(", ", new TreeSet<>(known)));
    }

    private String fieldPath(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
