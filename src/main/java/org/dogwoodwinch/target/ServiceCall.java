package org.dogwoodwinch.target;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One call to a plain service.
 *
 * @param attemptId names the attempt, not null
 * @param method the HTTP method, not null
 * @param path the path below the service's root, with its query, not null
 * @param contentType the body's media type, not null
 * @param body the body, not null
 * @param remainingMillis what is left of the caller's deadline, in milliseconds
 */
public record ServiceCall(
        String attemptId, String method, String path, String contentType, Bytes body, long remainingMillis) {

    /** Checks the parts. */
    public ServiceCall {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
