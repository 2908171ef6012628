package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** Chooses the target of a call. */
public interface TargetChooser {

    /**
     * Chooses the target of a call and, if its prompt is prefilled separately, the target that prefills it.
     *
     * @param query the call, not null
     * @return the plan, or empty if no target may receive the call
     */
    Optional<ForwardingPlan> choose(TargetQuery query);

    /**
     * Chooses the target that runs a call whose prompt another target has prefilled.
     *
     * @param query the call, not null
     * @param prefillTarget the target that prefilled, not null
     * @return the target, or empty if no target may receive the call
     */
    default Optional<Incarnation> chooseDecodeTarget(TargetQuery query, Incarnation prefillTarget) {
        return choose(query).map(ForwardingPlan::target);
    }

    /**
     * Returns whether a target that was chosen earlier may still receive the call for which it was chosen.
     *
     * @param target the target as it was chosen, not null
     * @return false if it has since begun to drain, was removed, restarted, or changed its stage
     */
    boolean isCurrent(Incarnation target);

    /**
     * Returns whether a call may be written to a target that was chosen for it earlier.
     *
     * @param target the target as it was chosen, not null
     * @return the verdict
     */
    SendCheck checkSend(Incarnation target);

    /**
     * Returns when a target may accept a call for which none was available.
     *
     * @param query the call, not null
     * @return the time from now in milliseconds, zero if it is not known
     */
    long millisUntilCapacity(TargetQuery query);
}
