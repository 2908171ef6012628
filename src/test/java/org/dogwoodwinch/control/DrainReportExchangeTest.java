package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class DrainReportExchangeTest {

    private static final Target ENGINE = new Target("engine-1", "127.0.0.1", 1, "kochi", "reading");

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<Consumer<PeerUpdate>> listeners = new ArrayList<>();
    private final SimulatedInstance first = new SimulatedInstance("entry-1", "entry-2");
    private final SimulatedInstance second = new SimulatedInstance("entry-2", "entry-1");

    /** An urgent request that another instance sent before the drain counts until that instance reports its end. */
    @Test
    void urgentWorkOfOtherInstanceIsCounted() {
        second.router.onSent("a1", ENGINE, query(WorkClass.URGENT));
        second.router.onSent("a2", ENGINE, query(WorkClass.LONG_READ));
        markOutOfService();
        time.advanceMillis(1_000);
        assertEquals(new TargetActivity.RequestsInFlight(true, 1, 2), first.drainExchange.requestsInFlight("engine-1"));
        second.router.onCompleted("a1", new TokenUsage(1, 0, 1));
        second.router.onFailed("a2", new TargetFailure.Broken("cut"));
        time.advanceMillis(1_000);
        assertEquals(new TargetActivity.RequestsInFlight(true, 0, 0), first.drainExchange.requestsInFlight("engine-1"));
    }

    /** Guards against ordering a target to which a partitioned or lagging instance may still send requests. */
    @Test
    void targetUnreportedByOneInstanceIsNotKnownIdle() {
        first.outOfService.add("engine-1");
        time.advanceMillis(1_000);
        assertFalse(first.drainExchange.requestsInFlight("engine-1").complete());
        markOutOfService();
        time.advanceMillis(1_000);
        assertTrue(first.drainExchange.requestsInFlight("engine-1").complete());
        second.partitioned = true;
        time.advanceMillis(9_000);
        assertFalse(first.drainExchange.requestsInFlight("engine-1").complete());
    }

    @Test
    void outOfServiceTargetIsExcluded() {
        markOutOfService();
        assertTrue(first.router.route(query(WorkClass.URGENT)) instanceof Route.NoTarget);
        first.outOfService.clear();
        assertTrue(first.router.route(query(WorkClass.URGENT)) instanceof Route.Chosen);
    }

    private void markOutOfService() {
        first.outOfService.add("engine-1");
        second.outOfService.add("engine-1");
    }

    private static RouteQuery query(WorkClass workClass) {
        return new RouteQuery("reading", workClass, "", 1, 1, 1_000, Set.of(), false);
    }

    /** An instance whose reports reach the other one unless it is partitioned. */
    private final class SimulatedInstance implements PeerBus {

        private final String name;
        private final Set<String> outOfService = new HashSet<>();
        private final DrainAwareRouter router = new DrainAwareRouter(new SingleTargetRouter(), () -> outOfService);
        private final DrainReportExchange drainExchange;
        private boolean partitioned;

        SimulatedInstance(String name, String other) {
            this.name = name;
            this.drainExchange =
                    new DrainReportExchange(this, router::inFlight, () -> outOfService, () -> Set.of(other), time);
            drainExchange.start();
        }

        @Override
        public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
            if (!partitioned) {
                listeners.forEach(listener -> listener.accept(new PeerUpdate(name, topic, key, 1, payload, 10)));
            }
        }

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> listener) {
            listeners.add(listener);
        }
    }

    /** Chooses the one engine unless it is excluded. */
    private static final class SingleTargetRouter implements Router {

        @Override
        public Route route(RouteQuery query) {
            return query.excludedTargets().contains(ENGINE.name())
                    ? new Route.NoTarget("excluded", 100)
                    : new Route.Chosen(ENGINE, Optional.empty(), 1);
        }

        @Override
        public void onSent(String _attemptId, Target _target, RouteQuery _query) {}

        @Override
        public void onFirstToken(String _attemptId, long _elapsedMillis) {}

        @Override
        public void onCompleted(String _attemptId, TokenUsage _usage) {}

        @Override
        public void onFailed(String _attemptId, TargetFailure _failure) {}

        @Override
        public void onCancelled(String _attemptId) {}
    }
}
