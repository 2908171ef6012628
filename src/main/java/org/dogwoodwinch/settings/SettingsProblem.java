package org.dogwoodwinch.settings;

import java.util.Objects;

/**
 * One thing that is wrong in a settings file.
 *
 * @param file the file's name as given, not null
 * @param line the line, from one
 * @param field the field with its sections, such as {@code callers.port}; empty for the file as a whole, not null
 * @param detail what is wrong and what would be right, not null
 */
public record SettingsProblem(String file, int line, String field, String detail) {

    /** Checks the parts. */
    public SettingsProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Returns the problem as one line for people.
     *
     * @return {@code file:line: field: detail}
     */
    @Override
    public String toString() {
        String prefix = file + ":" + line + ": ";
        return field.isEmpty() ? prefix + detail : prefix + field + ": " + detail;
    }
}
