package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** Chooses where a call goes. */
public interface TargetChooser {

    /**
     * Chooses.
     *
     * @param query the call, not null
     * @return the plan, or empty where no target may get it
     */
    Optional<Plan> choose(ChoiceQuery query);

    /**
     * Chooses the target that runs a call whose prompt another has read.
     *
     * @param query the call, not null
     * @param prefillTarget the target that read, not null
     * @return the target, or empty where none may get it
     */
    default Optional<Incarnation> chooseRunner(ChoiceQuery query, Incarnation prefillTarget) {
        return choose(query).map(Plan::target);
    }

    /**
     * Says whether a target that was chosen a while ago may still get what it was chosen for.
     *
     * @param target the target as it was chosen, not null
     * @return false where it leaves, is gone, has started again or takes another part of the work since
     */
    boolean serves(Incarnation target);

    /**
     * Says when a target may get a call for which none was found.
     *
     * @param query the call, not null
     * @return milliseconds from now, zero where that is not known
     */
    long roomMillis(ChoiceQuery query);
}
