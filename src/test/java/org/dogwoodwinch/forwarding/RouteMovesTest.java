package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteMovesTest {

    private static final RouteTable BEFORE = table(stream("r", "/", split("a", 1)));

    private static WeightedService split(String service, double weight) {
        return new WeightedService(service, weight);
    }

    private static ServiceRoute route(
            RouteKind kind, boolean resumable, String name, String prefix, WeightedService... services) {
        return new ServiceRoute(
                name, "a.example", prefix, kind, resumable, 1_000, 100, 0, 1, 0, false, List.of(services));
    }

    private static ServiceRoute stream(String name, String prefix, WeightedService... services) {
        return route(RouteKind.STREAM, true, name, prefix, services);
    }

    private static RouteTable table(ServiceRoute... routes) {
        return new RouteTable(1, List.of(routes), List.of(), CallerLimits.DEFAULT, Optional.empty());
    }

    private static Set<String> moved(RouteTable previous, RouteTable next) {
        return RouteMoves.servicesOfMovedStreams(previous, next);
    }

    /** Failure: a route moves to another service, and the only version there passes for that of its streams. */
    @Test
    void serviceToWhichRouteMovesIsNamed() {
        assertEquals(Set.of("b"), moved(BEFORE, table(stream("r", "/", split("b", 1)))));
        assertEquals(Set.of("a"), moved(table(stream("r", "/", split("b", 1))), BEFORE));
    }

    /** Failure: a new route takes over some of the paths of another one, whose streams are taken up at its service. */
    @Test
    void serviceOfLongerPrefixThatIsAddedIsNamed() {
        RouteTable next = table(stream("r", "/", split("a", 1)), stream("x", "/x/", split("b", 1)));

        assertEquals(Set.of("b"), moved(BEFORE, next));
    }

    /** Failure: a route is removed, and its streams are taken up at the service of a shorter prefix. */
    @Test
    void serviceOfShorterPrefixThatIsLeftIsNamed() {
        RouteTable previous = table(stream("r", "/", split("a", 1)), stream("x", "/x/", split("b", 1)));

        assertEquals(Set.of("a"), moved(previous, BEFORE));
    }

    /** Failure: a split changes, and the id of a stream leads to a service that did not begin it. */
    @Test
    void allServicesOfAnotherSplitAreNamed() {
        RouteTable previous = table(stream("r", "/", split("a", 90), split("b", 10)));

        assertEquals(Set.of("a", "b"), moved(previous, table(stream("r", "/", split("a", 80), split("b", 20)))));
        assertEquals(Set.of("a", "b"), moved(previous, table(stream("r", "/", split("b", 10), split("a", 90)))));
        assertEquals(
                Set.of("a", "b", "c"),
                moved(previous, table(stream("r", "/", split("a", 90), split("b", 5), split("c", 5)))));
        assertEquals(Set.of("a"), moved(previous, table(stream("r", "/", split("a", 1), split("b", 0)))));
        assertEquals(Set.of("b"), moved(previous, table(stream("r", "/", split("a", 0), split("b", 0)))));
        assertEquals(Set.of("a", "b"), moved(BEFORE, previous));
    }

    /** Failure: a route with a split gets another name, on which it also depends which service an id leads to. */
    @Test
    void otherNameOfRouteWithSplitMovesItsStreams() {
        RouteTable previous = table(stream("r", "/", split("a", 1), split("b", 1)));

        assertEquals(Set.of("a", "b"), moved(previous, table(stream("other", "/", split("a", 1), split("b", 1)))));
    }

    /** Failure: a route may be resumed no more or only now, and streams of its other configuration are taken up. */
    @Test
    void routeMovesWhereItMayBeResumedBeforeOrAfter() {
        RouteTable fixed = table(route(RouteKind.STREAM, false, "r", "/", split("b", 1)));
        RouteTable chance = table(route(RouteKind.STREAM, false, "r", "/", split("a", 1), split("b", 1)));
        RouteTable decided = table(stream("r", "/", split("a", 1), split("b", 1)));

        assertEquals(Set.of("b"), moved(BEFORE, fixed));
        assertEquals(Set.of("a"), moved(fixed, BEFORE));
        assertEquals(Set.of("a", "b"), moved(chance, decided));
        assertEquals(Set.of("a", "b"), moved(decided, chance));
    }

    /** Failure: each configuration counts as a move, and take-ups are refused although their streams are where they were. */
    @Test
    void configurationThatLeadsEachStreamWhereItWasMovesNothing() {
        assertEquals(Set.of(), moved(BEFORE, BEFORE));
        assertEquals(Set.of(), moved(BEFORE, table(stream("other", "/", split("a", 7)))));
        assertEquals(Set.of(), moved(BEFORE, table(stream("r", "/", split("a", 1), split("b", 0)))));
        assertEquals(
                Set.of(), moved(BEFORE, table(stream("r", "/", split("a", 1)), stream("x", "/x/", split("a", 1)))));
        assertEquals(
                Set.of(),
                moved(
                        table(stream("r", "/", split("a", 1), split("b", 3))),
                        table(stream("r", "/", split("a", 2), split("b", 6)))));
    }

    @Test
    void pathWithoutStreamsBeforeOrNowMovesNothing() {
        RouteTable none = table();
        RouteTable once = table(route(RouteKind.ONCE, false, "r", "/", split("b", 1)));
        RouteTable neverResumed = table(route(RouteKind.STREAM, false, "r", "/", split("b", 1)));
        RouteTable neverResumedElsewhere = table(route(RouteKind.STREAM, false, "r", "/", split("a", 1)));

        assertEquals(Set.of(), moved(none, BEFORE));
        assertEquals(Set.of(), moved(BEFORE, none));
        assertEquals(Set.of(), moved(once, BEFORE));
        assertEquals(Set.of(), moved(BEFORE, once));
        assertEquals(Set.of(), moved(neverResumed, neverResumedElsewhere));
        assertEquals(
                Set.of(),
                moved(
                        BEFORE,
                        table(
                                stream("r", "/", split("a", 1)),
                                route(RouteKind.ONCE, false, "x", "/x/", split("b", 1)))));
    }
}
