package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * What the system states of one send in its headers.
 *
 * @param target the only target that may run it, not null
 * @param remainingMillis the time left of the call's deadline, at least one
 * @param level the level in the target's queue, where zero is admitted first; empty for a plain service
 * @param prefillOnly whether only the prompt is to be read
 * @param memory where the read prompt's memory lies, empty where the target reads it itself
 * @param keeper the engine from whose memory parts of the prompt are fetched, empty where none are
 * @param lastEventId the last event that the caller has, empty for a start from the beginning
 */
public record SendFacts(
        Incarnation target,
        long remainingMillis,
        Optional<Integer> level,
        boolean prefillOnly,
        Optional<PromptMemory> memory,
        Optional<Incarnation> keeper,
        Optional<String> lastEventId) {

    /** Validates the components. */
    public SendFacts {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(level, "level");
        Objects.requireNonNull(memory, "memory");
        Objects.requireNonNull(keeper, "keeper");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
