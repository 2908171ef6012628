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
 * @param softwareVersion the version of the software of the targets that may run the call, because the call goes on with
 *     a stream that such a target began; empty if any version may. It says nothing about the target that prefills the
 *     prompt, which writes no event.
 */
public record TargetQuery(
        ServiceEntry service,
        Optional<Prompt> prompt,
        int priority,
        long firstEventObjectiveMillis,
        long maxEventGapMillis,
        Set<String> triedTargetIds,
        boolean separatePrefillAllowed,
        Optional<String> softwareVersion) {

    /** Validates the components and copies the set. */
    public TargetQuery {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(prompt, "prompt");
        triedTargetIds = Set.copyOf(triedTargetIds);
        Objects.requireNonNull(softwareVersion, "softwareVersion");
    }

    /**
     * Creates a query for a call that may run at any version of the software.
     *
     * @param service the service, not null
     * @param prompt the prompt of a call to a model, empty for any other call
     * @param priority the priority of the call's route, where zero is the most urgent
     * @param firstEventObjectiveMillis time left until the objective for the first event is missed
     * @param maxEventGapMillis maximum gap between two events of the answer; zero if the route has no objective
     * @param triedTargetIds ids of the targets that already received the call, not null
     * @param separatePrefillAllowed whether an engine other than the one that runs the call may prefill its prompt
     */
    public TargetQuery(
            ServiceEntry service,
            Optional<Prompt> prompt,
            int priority,
            long firstEventObjectiveMillis,
            long maxEventGapMillis,
            Set<String> triedTargetIds,
            boolean separatePrefillAllowed) {
        this(
                service,
                prompt,
                priority,
                firstEventObjectiveMillis,
                maxEventGapMillis,
                triedTargetIds,
                separatePrefillAllowed,
                Optional.empty());
    }

    /**
     * Returns whether a target's software may run the call.
     *
     * @param target the target, not null
     * @return false if the call goes on with a stream that another version began
     */
    public boolean isVersionAllowed(Incarnation target) {
        return softwareVersion.isEmpty() || softwareVersion.get().equals(target.softwareVersion());
    }
}
