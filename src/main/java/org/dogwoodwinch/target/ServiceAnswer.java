package org.dogwoodwinch.target;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * The answer of a plain service.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, not null
 * @param body the body, not null
 */
public record ServiceAnswer(int status, String contentType, Bytes body) {

    /** Validates the components. */
    public ServiceAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
