package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.forwarding.Prompt;

/**
 * The attributes of a call that a caller states in its headers.
 *
 * @param requestId the id of this attempt of the caller; empty if the header is absent or repeated
 * @param deadlineMillis how long the caller waits; empty if it does not state it
 * @param prompt the prompt for a model; empty for a call to another service
 * @param lastEventId the id of the last event that the caller received; empty if it does not resume a stream
 * @param resumes the request id of the caller's attempt that brought the first event of the stream that it resumes;
 *     empty if the header is absent or repeated
 */
public record CallAttributes(
        Optional<String> requestId,
        OptionalLong deadlineMillis,
        Optional<Prompt> prompt,
        Optional<String> lastEventId,
        Optional<String> resumes) {

    /** Validates the components. */
    public CallAttributes {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(deadlineMillis, "deadlineMillis");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(lastEventId, "lastEventId");
        Objects.requireNonNull(resumes, "resumes");
    }
}
