package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A call that looks for a target.
 *
 * @param service the service, not null
 * @param prompt the work asked of a model, empty for a plain call
 * @param urgency the rank of its route, where zero is the most urgent
 * @param firstEventObjectiveMillis the time left until its first event earns less; {@link Long#MAX_VALUE} where none is stated
 * @param pauseMillis the longest pause between two events of its answer that is still on time; zero where none is stated
 * @param triedTargetIds targets that got the call already, not null
 * @param separatePrefillAllowed whether another engine than the one that runs it may read its prompt
 */
public record ChoiceQuery(
        ServiceEntry service,
        Optional<Prompt> prompt,
        int urgency,
        long firstEventObjectiveMillis,
        long pauseMillis,
        Set<String> triedTargetIds,
        boolean separatePrefillAllowed) {

    /** Checks and copies. */
    public ChoiceQuery {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(prompt, "prompt");
        triedTargetIds = Set.copyOf(triedTargetIds);
    }
}
