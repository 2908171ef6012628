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
import org.dogwoodwinch.target.Usage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class DrainExchangeTest {

    private static final Target ENGINE = new Target("engine-1", "127.0.0.1", 1, "kochi", "reading");

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<Consumer<PeerUpdate>> listeners = new ArrayList<>();
    private final Member first = new Member("entry-1", "entry-2");
    private final Member second = new Member("entry-2", "entry-1");

    /**
     * A booking was sent to an engine by another instance before the engine was marked: the one that orders the engine
     * sees it in flight until the other says that it has finished.
     */
    @Test
    void urgentWorkOfAnotherInstanceIsSeen() {
        second.work.onSent("a1", ENGINE, query(WorkClass.URGENT));
        second.work.onSent("a2", ENGINE, query(WorkClass.LONG_READ));
        mark();
        time.advanceMillis(1_000);
        assertEquals(new TargetActivity.RequestsInFlight(true, 1, 2), first.drains.requestsInFlight("engine-1"));
        second.work.onCompleted("a1", new Usage(1, 0, 1));
        second.work.onFailed("a2", new TargetFailure.Broken("cut"));
        time.advanceMillis(1_000);
        assertEquals(new TargetActivity.RequestsInFlight(true, 0, 0), first.drains.requestsInFlight("engine-1"));
    }

    /**
     * The other instance has not read the mark yet, or is cut off: it may still send, so the target counts as busy though
     * nothing is known to be in flight.
     */
    @Test
    void anInstanceThatDoesNotListTheTargetKeepsItBusy() {
        first.marked.add("engine-1");
        time.advanceMillis(1_000);
        assertFalse(first.drains.requestsInFlight("engine-1").complete());
        mark();
        time.advanceMillis(1_000);
        assertTrue(first.drains.requestsInFlight("engine-1").complete());
        second.cut = true;
        time.advanceMillis(9_000);
        assertFalse(first.drains.requestsInFlight("engine-1").complete());
    }

    @Test
    void aMarkedTargetIsExcluded() {
        mark();
        assertTrue(first.work.route(query(WorkClass.URGENT)) instanceof Route.NoTarget);
        first.marked.clear();
        assertTrue(first.work.route(query(WorkClass.URGENT)) instanceof Route.Chosen);
    }

    private void mark() {
        first.marked.add("engine-1");
        second.marked.add("engine-1");
    }

    private static RouteQuery query(WorkClass workClass) {
        return new RouteQuery("reading", workClass, "", 1, 1, 1_000, Set.of(), false);
    }

    /** One instance with a board that reaches the other one unless it is cut off. */
    private final class Member implements PeerBus {

        private final String name;
        private final Set<String> marked = new HashSet<>();
        private final SentWork work = new SentWork(new OneTarget(), () -> marked);
        private final DrainExchange drains;
        private boolean cut;

        Member(String name, String other) {
            this.name = name;
            this.drains = new DrainExchange(this, work::inFlight, () -> marked, () -> Set.of(other), time);
            drains.start();
        }

        @Override
        public void publish(PeerTopic topic, String key, Bytes payload, long _keepMillis) {
            if (!cut) {
                listeners.forEach(listener -> listener.accept(new PeerUpdate(name, topic, key, 1, payload, 10)));
            }
        }

        @Override
        public void subscribe(PeerTopic _topic, Consumer<PeerUpdate> listener) {
            listeners.add(listener);
        }
    }

    /** Chooses the one engine unless it is excluded. */
    private static final class OneTarget implements Router {

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
        public void onCompleted(String _attemptId, Usage _usage) {}

        @Override
        public void onFailed(String _attemptId, TargetFailure _failure) {}

        @Override
        public void onCancelled(String _attemptId) {}
    }
}
