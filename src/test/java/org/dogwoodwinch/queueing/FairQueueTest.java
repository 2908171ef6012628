package org.dogwoodwinch.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FairQueueTest {

    private static final long FAR_MILLIS = 1_000_000;
    private static final long STEP_MILLIS = 100;

    private final FairQueue queue = new FairQueue(owner -> owner.equals("double") ? 2 : 1, new OwnerShares());
    private long nextId;

    @Test
    void mostUrgentPriorityIsServedFirst() {
        offer("a", 2, 10, FAR_MILLIS, 0);
        offer("a", 0, 10, FAR_MILLIS, 0);
        offer("a", 1, 10, FAR_MILLIS, 0);

        assertEquals(List.of(0, 1, 2), List.of(pollPriority(0), pollPriority(0), pollPriority(0)));
        assertTrue(queue.poll(0).isEmpty());
    }

    /** Guards against shares that count calls: an owner of large calls would get ten times the tokens of another one. */
    @Test
    void ownersGetEqualWorkWhateverTheSizeOfTheirCalls() {
        for (int i = 0; i < 50; i++) {
            offer("large", 0, 1_000, FAR_MILLIS, 0);
        }
        for (int i = 0; i < 500; i++) {
            offer("small", 0, 100, FAR_MILLIS, 0);
        }
        Map<String, Long> work = pollWork(220);

        assertTrue(Math.abs(work.get("large") - work.get("small")) <= 1_000, work.toString());
    }

    @Test
    void ownersGetWorkByTheirWeights() {
        for (int i = 0; i < 90; i++) {
            offer("double", 0, 10, FAR_MILLIS, 0);
            offer("single", 0, 10, FAR_MILLIS, 0);
        }
        Map<String, Long> work = pollWork(90);

        assertEquals(2, work.get("double") / (double) work.get("single"), 0.1);
    }

    /** Guards against an owner that takes over the queue with the turns that it did not use before. */
    @Test
    void idleOwnerGainsNoCredit() {
        for (int i = 0; i < 200; i++) {
            offer("steady", 0, 10, FAR_MILLIS, 0);
        }
        pollWork(100);
        for (int i = 0; i < 100; i++) {
            offer("returned", 0, 10, FAR_MILLIS, 0);
        }
        Map<String, Long> work = pollWork(40);

        assertEquals(work.get("steady"), work.get("returned"), 10);
    }

    /** Guards against callers that get more by sending their calls again and again. */
    @Test
    void repeatsOfOneCallerShareItsOwnersShare() {
        for (int i = 0; i < 100; i++) {
            offer("repeating", 0, 10, FAR_MILLIS, 0);
            if (i < 10) {
                offer("other", 0, 10, FAR_MILLIS, 0);
            }
        }

        assertEquals(100, pollWork(21).get("other"), 10);
    }

    @Test
    void earliestObjectiveThatCanBeMetIsServedBeforeLateCalls() {
        WaitingCall late = offer(call("a", 0, 10, 50, 400, false), 0);
        WaitingCall later = offer(call("a", 0, 10, 300, 500, false), 0);
        WaitingCall sooner = offer(call("a", 0, 10, 200, 600, false), 0);

        assertEquals(sooner, queue.poll(100).orElseThrow().call());
        assertEquals(later, queue.poll(100).orElseThrow().call());
        assertEquals(late, queue.poll(100).orElseThrow().call());
    }

    @Test
    void returningCallerIsServedBeforeNewcomers() {
        offer("a", 0, 10, 200, 0);
        WaitingCall returning = offer(call("b", 0, 10, 300, 300, true), 0);

        assertEquals(returning, queue.poll(0).orElseThrow().call());
    }

    /** Guards against a queue without deadlines: calls are held after their callers have left. */
    @Test
    void callsWhoseTimeHasPassedAreRemoved() {
        WaitingCall passed = offer("a", 0, 10, 100, 0);
        WaitingCall meetable = offer("a", 0, 10, 200, 0);

        assertEquals(List.of(), queue.removeUnmeetable(100));
        assertEquals(passed, queue.removeUnmeetable(101).get(0).call());
        assertEquals(meetable, queue.poll(101).orElseThrow().call());
        assertTrue(queue.isEmpty());
    }

    /** Guards against calls that wait in vain: the caller learns only at its deadline that it has to return. */
    @Test
    void callThatCannotBeServedInTimeIsRefusedAtOnce() {
        long nowMillis = serveOnePerStep(20);
        assertInstanceOf(
                OfferOutcome.Queued.class,
                queue.offer(call("b", 1, 10, nowMillis + 2_000, nowMillis + 2_000, false), nowMillis));
        OfferOutcome outcome = queue.offer(call("a", 1, 10, nowMillis + 2_000, nowMillis + 2_000, false), nowMillis);

        OfferOutcome.Refused refused = assertInstanceOf(OfferOutcome.Refused.class, outcome);
        assertEquals(RefusalReason.DEADLINE_UNMEETABLE, refused.reason());
        // 80 calls are ahead, of which one is sent in each step.
        long differenceMillis = Math.abs(refused.expectedWaitMillis() - 80 * STEP_MILLIS);
        assertTrue(differenceMillis <= 20 * STEP_MILLIS, "difference " + differenceMillis + " ms");
    }

    /** Guards against refusals by a rate that was observed without demand. */
    @Test
    void callIsKeptWhileServiceRateIsUnknown() {
        for (int i = 0; i < 100; i++) {
            assertInstanceOf(OfferOutcome.Queued.class, queue.offer(call("a", 0, 1_000, 10, 10, false), 0));
        }
    }

    /** Guards against the starvation of less urgent calls by a demand of urgent ones that takes all capacity. */
    @Test
    void lessUrgentPriorityKeepsItsShare() {
        int served = 0;
        for (int step = 0; step < 600; step++) {
            long nowMillis = step * STEP_MILLIS;
            // Half of the urgent calls are refused too; without that, a less urgent call takes no turn of theirs.
            offer(call("a", 0, 10, nowMillis + 10_000, nowMillis + 10_000, false), nowMillis);
            offer(call("a", 0, 10, nowMillis + 10_000, nowMillis + 10_000, false), nowMillis);
            offer(call("a", 1, 100, nowMillis + 20_000, nowMillis + 20_000, false), nowMillis);
            queue.removeUnmeetable(nowMillis);
            served += pollPriority(nowMillis) == 1 ? 1 : 0;
        }

        assertTrue(served >= 4 && served <= 12, served + " of 600");
    }

    @Test
    void removedCallIsNotServedAndFreesItsPlace() {
        WaitingCall gone = offer("a", 0, 10, FAR_MILLIS, 0);

        assertTrue(queue.remove(gone, 0));
        assertFalse(queue.remove(gone, 0));
        assertTrue(queue.poll(0).isEmpty());
        assertEquals(0, queue.size());
    }

    @Test
    void queueIsBounded() {
        for (int i = 0; i < FairQueue.MAX_WAITING_COUNT; i++) {
            offer("a", 0, 10, FAR_MILLIS, 0);
        }
        OfferOutcome.Refused refused = assertInstanceOf(
                OfferOutcome.Refused.class, queue.offer(call("b", 0, 10, FAR_MILLIS, FAR_MILLIS, false), 0));

        assertEquals(RefusalReason.QUEUE_FULL, refused.reason());
    }

    /** Serves one call in each step while a hundred wait, so that the rate is known. */
    private long serveOnePerStep(int steps) {
        for (int i = 0; i < 100; i++) {
            offer("a", 1, 10, steps * STEP_MILLIS + 1_900, 0);
        }
        for (int step = 1; step <= steps; step++) {
            queue.poll(step * STEP_MILLIS);
        }
        return steps * STEP_MILLIS;
    }

    private WaitingCall offer(String owner, int priority, long work, long latestMillis, long nowMillis) {
        return offer(call(owner, priority, work, latestMillis, latestMillis, false), nowMillis);
    }

    private WaitingCall offer(WaitingCall call, long nowMillis) {
        queue.offer(call, nowMillis);
        return call;
    }

    private WaitingCall call(
            String owner, int priority, long work, long onTimeMillis, long latestMillis, boolean isReturning) {
        return new WaitingCall(nextId++, owner, priority, work, onTimeMillis, latestMillis, isReturning);
    }

    private int pollPriority(long nowMillis) {
        return queue.poll(nowMillis).orElseThrow().call().priority();
    }

    private Map<String, Long> pollWork(int calls) {
        Map<String, Long> work = new HashMap<>();
        List<WaitingCall> polled = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            queue.poll(0).ifPresent(turn -> polled.add(turn.call()));
        }
        polled.forEach(call -> work.merge(call.owner(), call.work(), Long::sum));
        return work;
    }
}
