package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** Chooses where a call goes. */
@FunctionalInterface
public interface TargetChooser {

    /**
     * Chooses.
     *
     * @param query the call, not null
     * @return the plan, or empty where no target may get it
     */
    Optional<Plan> choose(ChoiceQuery query);
}
