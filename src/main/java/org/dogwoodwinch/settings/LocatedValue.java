package org.dogwoodwinch.settings;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** A JSON value that knows the line it stands on, so that a problem can name it. */
sealed interface LocatedValue {

    /** Returns the line, from one. */
    int line();

    /** An object; {@code fields} keeps the order of the file. */
    record ObjectValue(int line, Map<String, LocatedValue> fields) implements LocatedValue {

        public ObjectValue {
            fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
        }
    }

    /** A text. */
    record TextValue(int line, String text) implements LocatedValue {

        public TextValue {
            Objects.requireNonNull(text, "text");
        }
    }

    /** A number; {@code whole} says whether it was written without a fraction. */
    record NumberValue(int line, double number, boolean whole) implements LocatedValue {}

    /** True or false. */
    record FlagValue(int line, boolean flag) implements LocatedValue {}

    /** Null, or an array: no setting takes either. */
    record OtherValue(int line, String kind) implements LocatedValue {}

    /** Returns what kind of value it is, for problems. */
    default String kindName() {
        if (this instanceof ObjectValue) {
            return "an object";
        }
        if (this instanceof TextValue) {
            return "a text";
        }
        if (this instanceof NumberValue) {
            return "a number";
        }
        if (this instanceof FlagValue) {
            return "true or false";
        }
        return ((OtherValue) this).kind();
    }
}
