package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.routing.RouteQuery;

/**
 * What a request asks its router for, best first, by how it stands.
 *
 * <p>Most suspects are innocent: when a target crashes, all that was in flight on it is suspect. In a busy urgent group no
 * target is free for them, and refusing them all would cut more answers than the crash did. So a request that saw one
 * crash prefers to run alone and else runs as any other; one that saw two runs alone or not at all. The guilty request is
 * in every crash and gets there after the second; an innocent one rarely is in two.
 */
final class RouteQueries {

    private RouteQueries() {}

    static List<RouteQuery> of(
            CallerRequest request, Quarantine quarantine, Set<String> failedTargets, long nowMillis) {
        Quarantine.Standing standing = quarantine.standing(request.fingerprint());
        Set<String> trialTargets = quarantine.trialTargets();
        Set<String> excluded = new HashSet<>(failedTargets);
        excluded.addAll(trialTargets);
        List<RouteQuery> queries = new ArrayList<>();
        boolean repeatedSuspect = standing == Quarantine.Standing.REPEATED_SUSPECT;
        // One trial at a time of those that saw one crash, or trials would take all targets of a small group.
        if (repeatedSuspect || (standing == Quarantine.Standing.SUSPECT && trialTargets.isEmpty())) {
            queries.add(TargetCalls.routeQuery(request, nowMillis, excluded, true));
        }
        if (!repeatedSuspect) {
            queries.add(TargetCalls.routeQuery(request, nowMillis, excluded, false));
        }
        if (!repeatedSuspect && request.entry().workClass() != WorkClass.URGENT) {
            // Work that can wait may share a target with a suspect where no other is left; urgent work never does.
            queries.add(TargetCalls.routeQuery(request, nowMillis, failedTargets, false));
        }
        return queries;
    }
}
