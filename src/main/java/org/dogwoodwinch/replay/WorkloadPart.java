package org.dogwoodwinch.replay;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * One kind of request of a deployment.
 *
 * @param name names it, not null
 * @param group the group that serves it, not null
 * @param workClass its class, not null
 * @param repeatable whether it may be run again
 * @param perSecond arrivals a second in the prompt-heavy phase
 * @param perSecondOutputHeavy arrivals a second in the output-heavy phase
 * @param spikePerSecond additional arrivals a second in the spike
 * @param promptTokens mean tokens of a prompt
 * @param outputTokens mean tokens of an answer
 * @param prefixTokens tokens of the shared beginning
 * @param deadlineMillis the deadline, in milliseconds
 */
record WorkloadPart(
        String name,
        String group,
        WorkClass workClass,
        boolean repeatable,
        double perSecond,
        double perSecondOutputHeavy,
        double spikePerSecond,
        int promptTokens,
        int outputTokens,
        int prefixTokens,
        long deadlineMillis) {

    WorkloadPart {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workClass, "workClass");
    }
}
