package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class RouteQueriesTest {

    private final SuspectRegistry suspects =
            new SuspectRegistry(new VirtualTimeSource(0), 600_000, 60_000, _notice -> {});
    private final CallerRequest request = new RequestFixture(1).generateRequest("prompt", true, "");

    /** If one crash bound every affected request to an idle target, a busy urgent group would refuse all of them. */
    @Test
    void requestMustRunAloneOnlyAfterASecondCrash() {
        assertEquals(List.of(false, false), aloneFlags());
        suspects.onCrash(request.fingerprint(), "a", "engine-0");
        assertEquals(List.of(true, false, false), aloneFlags());
        suspects.onCrash(request.fingerprint(), "b", "engine-1");
        assertEquals(List.of(true), aloneFlags());
    }

    @Test
    void avoidsTargetsOfTrialsWhenPossible() {
        suspects.onTrialStarted(request.fingerprint() + 1, "a", "engine-0");
        List<RouteQuery> queries = RouteQueries.forRequest(request, suspects, Set.of("engine-1"), 0);
        assertEquals(Set.of("engine-0", "engine-1"), queries.get(0).excludedTargets());
        assertEquals(Set.of("engine-1"), queries.get(1).excludedTargets());
    }

    private List<Boolean> aloneFlags() {
        return RouteQueries.forRequest(request, suspects, Set.of(), 0).stream()
                .map(RouteQuery::crashSuspect)
                .toList();
    }
}
