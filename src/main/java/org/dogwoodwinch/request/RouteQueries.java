package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.routing.RouteQuery;

/**
 * Builds the route queries of a request in order of preference, depending on its quarantine status.
 *
 * <p>Most suspects did not cause a crash: when a target crashes, every request in flight on it becomes a suspect. In a
 * busy urgent group no target is idle for all of them, and refusing them would fail more requests than the crash did.
 * Therefore a request that was in one crash prefers to run alone but otherwise runs like any other, and a request that
 * was in two crashes runs alone or not at all. The request that causes the crashes is in all of them and must run alone
 * after the second; other requests are rarely in two.
 */
final class RouteQueries {

    private RouteQueries() {}

    static List<RouteQuery> forRequest(
            CallerRequest request, Quarantine quarantine, Set<String> failedTargets, long nowMillis) {
        Quarantine.Status standing = quarantine.statusOf(request.fingerprint());
        Set<String> trialTargets = quarantine.trialTargets();
        Set<String> excluded = new HashSet<>(failedTargets);
        excluded.addAll(trialTargets);
        List<RouteQuery> queries = new ArrayList<>();
        boolean repeatedSuspect = standing == Quarantine.Status.REPEATED_SUSPECT;
        // Requests that were in one crash start a trial only if no other trial is running: concurrent trials would
        // occupy all targets of a small group.
        if (repeatedSuspect || (standing == Quarantine.Status.SUSPECT && trialTargets.isEmpty())) {
            queries.add(TargetCalls.routeQuery(request, nowMillis, excluded, true));
        }
        if (!repeatedSuspect) {
            queries.add(TargetCalls.routeQuery(request, nowMillis, excluded, false));
        }
        if (!repeatedSuspect && request.entry().workClass() != WorkClass.URGENT) {
            // Requests that are not urgent may share a target with a suspect if no other is left; urgent ones never do.
            queries.add(TargetCalls.routeQuery(request, nowMillis, failedTargets, false));
        }
        return queries;
    }
}
