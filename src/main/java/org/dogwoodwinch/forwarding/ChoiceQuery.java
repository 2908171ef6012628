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
 * @param objectiveMillis the time left until its first event earns less; {@link Long#MAX_VALUE} where none is stated
 * @param pauseMillis the longest pause between two events of its answer that is still on time; zero where none is stated
 * @param triedIds targets that got the call already, not null
 * @param readApart whether another engine than the one that runs it may read its prompt
 */
public record ChoiceQuery(
        ServiceEntry service,
        Optional<Prompt> prompt,
        int urgency,
        long objectiveMillis,
        long pauseMillis,
        Set<String> triedIds,
        boolean readApart) {

    /** Checks and copies. */
    public ChoiceQuery {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(prompt, "prompt");
        triedIds = Set.copyOf(triedIds);
    }
}
