package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * An answer of the control endpoint, for any HTTP listener to write out.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, not null
 * @param body the body, JSON, not null
 */
public record ControlResponse(int status, String contentType, String body) {

    /** Checks the parts. */
    public ControlResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
