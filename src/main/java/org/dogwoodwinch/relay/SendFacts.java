package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * What the system states of one send in its headers.
 *
 * @param target the only target that may run it, not null
 * @param remainingMillis the time left of the call's deadline, at least one
 * @param urgency the rank of the route, where zero is the most urgent; empty for a plain service
 * @param prefillOnly whether only the prompt is to be read
 * @param memory where the read prompt's memory lies, empty where the target reads it itself
 * @param lastEventId the last event that the caller has, empty for a start from the beginning
 */
public record SendFacts(
        Incarnation target,
        long remainingMillis,
        Optional<Integer> urgency,
        boolean prefillOnly,
        Optional<PromptMemory> memory,
        Optional<String> lastEventId) {

    /** Checks. */
    public SendFacts {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(urgency, "urgency");
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
