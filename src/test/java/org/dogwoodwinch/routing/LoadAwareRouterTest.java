package org.dogwoodwinch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class LoadAwareRouterTest {

    private static final String GROUP = "reading";
    private static final String SHARED_PREFIX = "Censor note, form 7. ".repeat(100);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final FleetView fleet = new FleetView(time);
    private final LoadAwareRouter router = newRouter(fleet, 1);
    private int attemptCount;

    @Test
    void targetWithShorterBacklogIsChosen() {
        setInstanceList("e1", "e2");
        setLoadReport("e1", 100_000, 0);
        setLoadReport("e2", 0, 0);
        assertEquals("e2", chooseRoute(newQuery("p")).target().name());
    }

    @Test
    void tokensSentSinceTheReportAddToTheBacklog() {
        setInstanceList("e1", "e2");
        setLoadReport("e1", 0, 0);
        setLoadReport("e2", 3_000, 0);
        send("e1", 10_000);
        assertEquals("e2", chooseRoute(newQuery("p")).target().name());
    }

    @Test
    void splitRolesRoutePromptToPrefillAndAnswerToDecodeTarget() {
        setInstanceList("e1", "e2");
        setRole("e1", EngineRole.PREFILL);
        setRole("e2", EngineRole.DECODE);
        Route.Chosen route = chooseRoute(newQuery("p"));
        assertEquals("e2", route.target().name());
        assertEquals(Optional.of("e1"), route.prefillTarget().map(Target::name));
    }

    @Test
    void cachedPrefixAttractsRequestsUntilItsEntryDecays() {
        setInstanceList("e1", "e2", "e3");
        String attempt = send("e2", SHARED_PREFIX, 600);
        router.onFirstToken(attempt, 80);
        router.onCompleted(attempt, new TokenUsage(600, 0, 10));
        assertEquals("e2", chooseRoute(newQuery(SHARED_PREFIX)).target().name());
        time.advanceMillis(1_800_000);
        Map<String, Integer> choices = countChoices(newQuery(SHARED_PREFIX), 60);
        assertTrue(choices.size() > 1, "requests still prefer the expired cache entry: " + choices);
    }

    /** Six instances with the same five-second-old report would all choose the same idle target. */
    @Test
    void instancesWithTheSameStaleViewChooseDifferentTargets() {
        Map<String, Integer> choices = new HashMap<>();
        for (int instance = 0; instance < 60; instance++) {
            FleetView view = new FleetView(time);
            view.onInstanceList(newInstanceList("e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"));
            choices.merge(chosenName(newRouter(view, instance + 100L).route(newQuery("p"))), 1, Integer::sum);
        }
        int maxChoices =
                choices.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(maxChoices <= 20, "one target is chosen too often: " + choices);
    }

    /** A target that fails at once reports no load, so its report alone would make it the best choice. */
    @Test
    void repeatedlyFailingTargetReceivesOnlyProbes() {
        setInstanceList("good", "flapping");
        setLoadReport("good", 4_000, 0);
        int failed = 0;
        for (int i = 0; i < 600; i++) {
            Route.Chosen route = chooseRoute(newQuery("p"));
            String attempt = "a" + attemptCount++;
            router.onSent(attempt, route.target(), newQuery("p"));
            if (route.target().name().equals("flapping")) {
                failed++;
                router.onFailed(attempt, new TargetFailure.Broken("reset"));
            } else {
                router.onFirstToken(attempt, 500);
                router.onCompleted(attempt, new TokenUsage(10, 0, 1));
            }
            time.advanceMillis(100);
        }
        assertTrue(failed <= 8, "attempts on the failing target: " + failed);
    }

    @Test
    void slowTargetIsRarelyChosen() {
        setInstanceList("fast", "slow");
        for (int i = 0; i < 20; i++) {
            router.onFirstToken(send("slow", 100), 3_000);
            router.onFirstToken(send("fast", 100), 60);
        }
        time.advanceMillis(20_000);
        assertTrue(countChoices(newQuery("p"), 50).getOrDefault("fast", 0) >= 45);
    }

    /** The instance list lags by seconds; a refusal by the target or a message from a peer must take effect at once. */
    @Test
    void drainingTargetReceivesNoNewRequests() {
        setInstanceList("e1", "e2");
        router.onFailed(send("e1", 10), new TargetFailure.Refused("leaving", false, true, 0));
        fleet.markDraining("e2", 5_000);
        assertInstanceOf(Route.NoTarget.class, router.route(newQuery("p")));
        time.advanceMillis(5_000);
        assertEquals("e2", chooseRoute(newQuery("p")).target().name());
    }

    @Test
    void suspectedRequestIsKeptAwayFromUrgentRequests() {
        setInstanceList("e1", "e2");
        RouteQuery urgentQuery = newQuery("p");
        router.onSent("u", newTarget("e1"), urgentQuery);
        RouteQuery suspectedQuery = new RouteQuery(GROUP, WorkClass.STANDARD, "p", 10, 10, 9_000, Set.of(), true);
        assertEquals(Set.of("e2"), countChoices(suspectedQuery, 20).keySet());
        router.onSent("v", newTarget("e2"), urgentQuery);
        assertInstanceOf(Route.NoTarget.class, router.route(suspectedQuery));
    }

    @Test
    void excludedAndUnreadyTargetsAreNotChosen() {
        setInstanceList("e1", "e2", "e3");
        fleet.onEngineState("e2", newEngineState(EngineRole.MIXED, false));
        RouteQuery query = new RouteQuery(GROUP, WorkClass.URGENT, "p", 10, 10, 9_000, Set.of("e1"), false);
        assertEquals(Set.of("e3"), countChoices(query, 20).keySet());
    }

    private static LoadAwareRouter newRouter(FleetView fleet, long seed, VirtualTimeSource time) {
        return new LoadAwareRouter(
                fleet, RoutingPolicy.STANDARD, time, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), "kochi-1");
    }

    private LoadAwareRouter newRouter(FleetView view, long seed) {
        return newRouter(view, seed, time);
    }

    private Map<String, Integer> countChoices(RouteQuery query, int count) {
        Map<String, Integer> choices = new HashMap<>();
        for (int i = 0; i < count; i++) {
            choices.merge(chosenName(router.route(query)), 1, Integer::sum);
        }
        return choices;
    }

    private static String chosenName(Route route) {
        return ((Route.Chosen) route).target().name();
    }

    private Route.Chosen chooseRoute(RouteQuery query) {
        return assertInstanceOf(Route.Chosen.class, router.route(query));
    }

    private void setInstanceList(String... names) {
        fleet.onInstanceList(newInstanceList(names));
    }

    private static List<ListedInstance> newInstanceList(String... names) {
        List<ListedInstance> instances = new ArrayList<>();
        for (String name : names) {
            instances.add(
                    new ListedInstance(name, ListedInstance.Kind.ENGINE, "10.0.0.1", 80, 0, "kochi-1", false, GROUP));
        }
        return instances;
    }

    private static Target newTarget(String name) {
        return new Target(name, "10.0.0.1", 80, "kochi-1", GROUP);
    }

    private void setLoadReport(String name, long prefillTokens, long decodeTokens) {
        fleet.onLoadReport(
                name, new LoadReport(time.wallMillis(), prefillTokens, decodeTokens, 0, 0, 0, 1_000_000, 8_000, 1_500));
    }

    private void setRole(String name, EngineRole role) {
        fleet.onEngineState(name, newEngineState(role, true));
    }

    private static EngineState newEngineState(EngineRole role, boolean ready) {
        return new EngineState(new EngineConfiguration(role, "m", "1", new TreeSet<>()), "", -1, ready, 1);
    }

    private String send(String name, long promptTokens) {
        return send(name, "p", promptTokens);
    }

    private String send(String name, String prompt, long promptTokens) {
        String attempt = "a" + attemptCount++;
        router.onSent(
                attempt,
                newTarget(name),
                new RouteQuery(GROUP, WorkClass.URGENT, prompt, promptTokens, 10, 9_000, Set.of(), false));
        return attempt;
    }

    private static RouteQuery newQuery(String prompt) {
        return new RouteQuery(GROUP, WorkClass.URGENT, prompt, 600, 10, 9_000, Set.of(), false);
    }
}
