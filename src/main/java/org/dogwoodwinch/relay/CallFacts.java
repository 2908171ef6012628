package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.forwarding.Prompt;

/**
 * What a caller states of a call in its headers.
 *
 * @param requestId the id of this attempt of the caller, empty where it names none or names it twice
 * @param deadlineMillis how long the caller waits, empty where it does not say
 * @param prompt the work asked of a model, empty for a plain call
 * @param lastEventId the last event that the caller has, empty where it does not resume
 */
public record CallFacts(
        Optional<String> requestId,
        OptionalLong deadlineMillis,
        Optional<Prompt> prompt,
        Optional<String> lastEventId) {

    /** Checks. */
    public CallFacts {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(deadlineMillis, "deadlineMillis");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
