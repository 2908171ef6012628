package org.dogwoodwinch.routing;

import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * What is known of an attempt when its target is chosen.
 *
 * @param group the target group, not null
 * @param workClass the class of work, not null
 * @param prompt the prompt, for prefix affinity; empty for a plain service, not null
 * @param promptTokens the prompt's length in tokens, estimated
 * @param maxTokens the most tokens to generate
 * @param remainingMillis what is left of the deadline, in milliseconds
 * @param excludedTargets names of targets that must not be chosen, such as those that just failed, not null
 * @param alone whether the request is suspected of crashing targets: then only a target with no urgent work will do
 */
public record RouteQuery(
        String group,
        WorkClass workClass,
        String prompt,
        long promptTokens,
        int maxTokens,
        long remainingMillis,
        Set<String> excludedTargets,
        boolean alone) {

    /** Checks and copies the parts. */
    public RouteQuery {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(prompt, "prompt");
        excludedTargets = Set.copyOf(excludedTargets);
    }
}
