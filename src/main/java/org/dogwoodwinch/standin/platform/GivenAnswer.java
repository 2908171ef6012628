package org.dogwoodwinch.standin.platform;

import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * An answer that a stand-in target has written.
 *
 * @param status the HTTP status
 * @param headers the headers by name, but for those of the framing, not null
 * @param body the bytes of the body that were written, not null
 * @param isWhole whether the body was written to its end
 */
public record GivenAnswer(int status, Map<String, String> headers, Bytes body, boolean isWhole) {

    private static final String STAMP = "server-stamp";

    /** Checks, and copies the headers. */
    public GivenAnswer {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns the stamp.
     *
     * @return the value of the header; empty for an answer without a stamp
     */
    public String stamp() {
        return headers.getOrDefault(STAMP, "");
    }
}
