package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * Names a stream on a target, so that any instance can join it.
 *
 * @param target the target's name, not null
 * @param attemptId the attempt's id, which names the stream on the target, not null
 */
public record StreamPointer(String target, String attemptId) {

    /** Checks the parts. */
    public StreamPointer {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(attemptId, "attemptId");
    }
}
