package org.dogwoodwinch.target;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A plain service's answer.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, not null
 * @param body the body, not null
 */
public record ServiceAnswer(int status, String contentType, Bytes body) {

    /** Checks the parts. */
    public ServiceAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
