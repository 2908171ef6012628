package org.dogwoodwinch.routing;

import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * The properties of an attempt that determine its target.
 *
 * @param group the target group, not null
 * @param workClass the class of work, not null
 * @param prompt the prompt, for prefix affinity; empty for a plain service, not null
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maxTokens the maximum number of tokens to generate
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param excludedTargets names of targets that must not be chosen, such as those that just failed, not null
 * @param crashSuspect whether the request is suspected of crashing targets; it is then placed only on a target without urgent
 *     requests
 */
public record RouteQuery(
        String group,
        WorkClass workClass,
        String prompt,
        long promptTokens,
        int maxTokens,
        long remainingMillis,
        Set<String> excludedTargets,
        boolean crashSuspect) {

    /** Checks and copies the components. */
    public RouteQuery {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(prompt, "prompt");
        excludedTargets = Set.copyOf(excludedTargets);
    }
}
