package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * Identifies a stream on a target, so that any instance can join it.
 *
 * @param target the target's name, not null
 * @param attemptId the id of the attempt, which identifies the stream on the target, not null
 */
public record StreamPointer(String target, String attemptId) {

    /** Checks that no component is null. */
    public StreamPointer {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(attemptId, "attemptId");
    }
}
