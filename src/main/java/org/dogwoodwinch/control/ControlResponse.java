package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * A response of the control endpoint, independent of the HTTP listener that sends it.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body, not null
 * @param body the JSON body, not null
 */
public record ControlResponse(int status, String contentType, String body) {

    /** Validates the components. */
    public ControlResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
