package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A call that looks for a target.
 *
 * @param service the service, not null
 * @param prompt the work asked of a model, empty for a plain call
 * @param triedIds targets that got the call already, not null
 * @param remainingMillis the time left of its deadline
 * @param nowMillis monotonic milliseconds
 */
public record ChoiceQuery(
        ServiceEntry service, Optional<Prompt> prompt, Set<String> triedIds, long remainingMillis, long nowMillis) {

    /** Checks and copies. */
    public ChoiceQuery {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(prompt, "prompt");
        triedIds = Set.copyOf(triedIds);
    }
}
