package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A call for which a target is to be chosen.
 *
 * @param service the service, not null
 * @param prompt the prompt of a call to a model, empty for any other call
 * @param priority the priority of the call's route, where zero is the most urgent
 * @param firstEventObjectiveMillis time left until the objective for the first event is missed; {@link
 *     Long#MAX_VALUE} if the route has no objective
 * @param maxEventGapMillis maximum gap between two events of the answer that still meets the objective; zero if the route
 *     has no objective
 * @param triedTargetIds ids of the targets that already received the call, not null
 * @param separatePrefillAllowed whether an engine other than the one that runs the call may prefill its prompt
 */
public record TargetQuery(
        ServiceEntry service,
        Optional<Prompt> prompt,
        int priority,
        long firstEventObjectiveMillis,
        long maxEventGapMillis,
        Set<String> triedTargetIds,
        boolean separatePrefillAllowed) {

    /** Validates the components and copies the set. */
    public TargetQuery {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(prompt, "prompt");
        triedTargetIds = Set.copyOf(triedTargetIds);
    }
}
