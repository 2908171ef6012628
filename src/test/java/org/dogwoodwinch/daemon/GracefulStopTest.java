package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.relay.DrainableService;
import org.dogwoodwinch.settings.ForwardingSettings.GraceSettings;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class GracefulStopTest {

    private static final long GRACE_MILLIS = 8_000;
    private static final long NOT_READY_MILLIS = 2_500;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final FakeService service = new FakeService();
    private CompletableFuture<Boolean> lastWrites = CompletableFuture.completedFuture(true);
    private int lastWritesCount;
    private GraceSettings settings = new GraceSettings(GRACE_MILLIS, NOT_READY_MILLIS);

    private CompletableFuture<Integer> start() {
        GracefulStop stop = new GracefulStop(
                service,
                () -> settings,
                () -> {
                    lastWritesCount++;
                    return lastWrites;
                },
                time);
        stop.start();
        return stop.stopped().toCompletableFuture();
    }

    /** Failure: calls are cut off that would have ended before the platform kills the process. */
    @Test
    void callsAreNotEndedEarlierThanHalfASecondBeforeTheKill() {
        service.openCount = 3;
        service.callersCount = 3;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(GRACE_MILLIS - 520);

        assertTrue(service.endedCounts.isEmpty());
        service.openCount = 0;
        service.callersCount = 0;
        time.advanceMillis(20);

        assertEquals(0, stopped.getNow(-1));
    }

    /** Failure: a call that waits is sent so late that it is cut off. */
    @Test
    void waitingCallsAreJudgedByTheTimeThatIsLeftFromTheBegin() {
        service.openCount = 1;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(20);
        assertFalse(stopped.isDone());

        assertEquals(List.of(7_500L, 7_480L), service.remainingMillisAtRefusals);
    }

    /** Failure: the process exits while answers are still on their way to the sockets. */
    @Test
    void stopWaitsUntilTheConnectionsOfEndedCallsHaveClosed() {
        service.openCount = 3;
        service.callersCount = 3;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(GRACE_MILLIS - 480);

        assertEquals(List.of(3), service.endedCounts);
        assertFalse(stopped.isDone());
        service.callersCount = 0;
        time.advanceMillis(20);

        assertEquals(3, stopped.getNow(-1));
        assertEquals(Optional.of("stopped open=0"), service.lastState());
    }

    /** Failure: the platform kills the process, which waits for a caller that does not read its answer. */
    @Test
    void stopEndsBeforeTheKillWhenCallersDoNotRead() {
        service.openCount = 1;
        service.callersCount = 1;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(GRACE_MILLIS - 100);

        assertEquals(1, stopped.getNow(-1));
    }

    /** Failure: a store that never answers, or fails, keeps a process that has no calls until it is killed. */
    @Test
    void lastWritesThatNeverCompleteDoNotKeepTheProcess() {
        lastWrites = new CompletableFuture<>();
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(GRACE_MILLIS - 120);
        assertFalse(stopped.isDone());
        time.advanceMillis(20);
        assertEquals(0, stopped.getNow(-1));
        assertEquals(1, lastWritesCount);

        lastWrites = CompletableFuture.failedFuture(new IllegalStateException("store closed"));
        CompletableFuture<Integer> next = start();
        time.advanceMillis(NOT_READY_MILLIS + 20);
        assertEquals(0, next.getNow(-1));
    }

    /** Failure: calls that ended last are missing in what outlives the process. */
    @Test
    void lastWritesFollowTheEndOfTheCalls() {
        service.openCount = 1;
        service.callersCount = 1;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(GRACE_MILLIS - 520);
        assertFalse(stopped.isDone());
        assertEquals(0, lastWritesCount);
        time.advanceMillis(20);
        assertEquals(1, lastWritesCount);
    }

    /** Failure: calls stay without an answer where the balancer is given as much time as the platform gives. */
    @Test
    void callsAreEndedThoughTheBalancerIsGivenLongerThanTheGraceTime() {
        settings = new GraceSettings(2_000, 5_000);
        service.openCount = 2;
        CompletableFuture<Integer> stopped = start();
        time.advanceMillis(1_900);

        assertEquals(List.of(2), service.endedCounts);
        assertEquals(2, stopped.getNow(-1));
    }

    private static final class FakeService implements DrainableService {

        private final List<Integer> endedCounts = new ArrayList<>();
        private final List<Long> remainingMillisAtRefusals = new ArrayList<>();
        private final List<String> states = new ArrayList<>();
        private int openCount;
        private int callersCount;

        private Optional<String> lastState() {
            return states.isEmpty() ? Optional.empty() : Optional.of(states.get(states.size() - 1));
        }

        @Override
        public void startDraining() {}

        @Override
        public void stopAccepting() {}

        @Override
        public void refuseUnfinishableCalls(long remainingMillis) {
            remainingMillisAtRefusals.add(remainingMillis);
        }

        @Override
        public int endOpenCalls() {
            endedCounts.add(openCount);
            int endedCount = openCount;
            openCount = 0;
            return endedCount;
        }

        @Override
        public int openCallsCount() {
            return openCount;
        }

        @Override
        public int callerConnectionsCount() {
            return callersCount;
        }

        @Override
        public void logState(String event) {
            states.add(event + " open=" + openCount);
        }
    }
}
