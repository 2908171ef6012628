package org.dogwoodwinch.logging;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.slf4j.Logger;

/**
 * Builds the one {@code key=value} line that an event is logged as.
 *
 * <p>A value that holds a space, a quote, an equals sign or a control character is quoted and escaped, so that text
 * chosen by a caller can neither forge a field nor start a second line.
 */
public final class LogEvent {

    private final StringBuilder line = new StringBuilder(96);

    private LogEvent(String name) {
        line.append("event=").append(name);
    }

    /**
     * Starts a line.
     *
     * @param name the event's name in lower case with underscores, not null
     * @return the builder
     */
    public static LogEvent of(String name) {
        return new LogEvent(Objects.requireNonNull(name, "name"));
    }

    /**
     * Adds a field; a null value is written as {@code key=null}.
     *
     * @param key the field's name, not null
     * @param value the value, may be null
     * @return this builder
     */
    public LogEvent with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /**
     * Writes the line at level info.
     *
     * @param logger where to, not null
     */
    public void info(Logger logger) {
        logger.info("{}", line);
    }

    /**
     * Writes the line at level warn.
     *
     * @param logger where to, not null
     */
    public void warn(Logger logger) {
        logger.warn("{}", line);
    }

    /**
     * Writes the line at level debug.
     *
     * @param logger where to, not null
     */
    public void debug(Logger logger) {
        logger.debug("{}", line);
    }

    /**
     * Returns the line as it would be logged.
     *
     * @return the line, without a line end
     */
    @Override
    public String toString() {
        return line.toString();
    }

    /** The line with its end, for whoever writes it without a logger. */
    byte[] bytes() {
        return (line + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void appendValue(String value) {
        if (isPlain(value)) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        line.append('"');
    }

    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            line.append('\\').append(character);
        } else if (Character.isISOControl(character)) {
            line.append(String.format("\\u%04x", (int) character));
        } else {
            line.append(character);
        }
    }

    private static boolean isPlain(String value) {
        if (value.isEmpty()) {
            return false;
        }
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character <= ' '
                    || character == '"'
                    || character == '='
                    || character == '\\'
                    || Character.isISOControl(character)) {
                return false;
            }
        }
        return true;
    }
}
