package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * The secret by which a caller proves which owner it calls for. Its text form omits the value, so that a key cannot
 * reach a log line or an error message by accident.
 *
 * @param value the key as the caller sends it, not null
 */
public record ApiKey(String value) {

    /** Validates the component. */
    public ApiKey {
        Objects.requireNonNull(value, "value");
    }

    /** Written by hand to save processor time at start-up; see {@link Incarnation#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return "ApiKey[redacted]";
    }
}
