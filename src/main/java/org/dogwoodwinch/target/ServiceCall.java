package org.dogwoodwinch.target;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A call to a plain service.
 *
 * @param attemptId identifies the attempt, not null
 * @param method the HTTP method, not null
 * @param path the path and query relative to the service's root, not null
 * @param contentType the body's media type, not null
 * @param body the body, not null
 * @param remainingMillis the time left until the caller's deadline, in milliseconds
 */
public record ServiceCall(
        String attemptId, String method, String path, String contentType, Bytes body, long remainingMillis) {

    /** Validates the components. */
    public ServiceCall {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
