package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

    private static final RetryPolicy POLICY = new RetryPolicy(2, 2, 30, 200);

    @Provide
    Arbitrary<SendOutcome> outcomes() {
        return Arbitraries.of(
                new SendOutcome.NotSent("x"),
                new SendOutcome.Rejected(503),
                new SendOutcome.Rejected(421),
                new SendOutcome.Unknown("x"),
                new SendOutcome.RanAndFailed(500));
    }

    @Provide
    Arbitrary<CallProgress> progresses() {
        return Combinators.combine(
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(1, 3),
                        Arbitraries.longs().between(-10, 5_000))
                .as((idempotent, runs, rejections, failedConnects, maxRuns, remainingMillis) ->
                        new CallProgress(idempotent, runs, rejections, failedConnects, maxRuns, remainingMillis, 0));
    }

    /** A non-idempotent call that may have run must never be sent again, nor be refused as not run. */
    @Property(seed = "17", tries = 2_000)
    void callThatMayHaveRunIsNeitherRetriedNorRefused(
            @ForAll("outcomes") SendOutcome outcome, @ForAll("progresses") CallProgress progress) {
        boolean ran = outcome instanceof SendOutcome.Unknown || outcome instanceof SendOutcome.RanAndFailed;
        CallProgress afterSend = ran ? oneMoreRun(progress) : progress;

        NextStep step = POLICY.nextStep(outcome, afterSend, () -> true);

        if (afterSend.mayHaveRun()) {
            assertTrue(!(step instanceof NextStep.Refuse));
            if (!afterSend.idempotent() && ran) {
                assertTrue(!(step instanceof NextStep.SendAgain));
            }
        }
        if (afterSend.possibleRunsCount() >= afterSend.maxRunsCount()) {
            assertTrue(!(step instanceof NextStep.SendAgain) || outcome instanceof SendOutcome.NotSent);
        }
    }

    /** Each send after one that reached a target takes a retry from the budget, and none happens without it. */
    @Property(seed = "18", tries = 2_000)
    void eachRetryIsTakenFromTheBudget(
            @ForAll("outcomes") SendOutcome outcome, @ForAll("progresses") CallProgress progress) {
        AtomicInteger taken = new AtomicInteger();

        NextStep step = POLICY.nextStep(outcome, progress, () -> taken.incrementAndGet() > 0);
        NextStep withoutBudget = POLICY.nextStep(outcome, progress, () -> false);

        boolean first = outcome instanceof SendOutcome.NotSent && !progress.hasReachedTarget();
        assertEquals(step instanceof NextStep.SendAgain && !first ? 1 : 0, taken.get());
        assertTrue(first || !(withoutBudget instanceof NextStep.SendAgain));
    }

    private static CallProgress oneMoreRun(CallProgress progress) {
        return new CallProgress(
                progress.idempotent(),
                progress.possibleRunsCount() + 1,
                progress.rejectionsCount(),
                progress.failedConnectsCount(),
                progress.maxRunsCount(),
                progress.remainingMillis(),
                progress.untilCapacityMillis());
    }

    /** Callers follow a retry time only up to a third of their remaining time. */
    @Test
    void retryAfterLeavesTimeForTheAnswer() {
        NextStep step = POLICY.giveUp(new CallProgress(false, 0, 0, 0, 1, 400, 0));

        assertEquals(100, assertInstanceOf(NextStep.Refuse.class, step).retryAfterMillis());
    }

    /** The caller receives the time until capacity, but never one too late for it to retry. */
    @Test
    void refusalStatesTimeUntilCapacity() {
        assertEquals(new NextStep.Refuse(200), POLICY.giveUp(progress(4_000, 50)));
        assertEquals(new NextStep.Refuse(700), POLICY.giveUp(progress(4_000, 700)));
        assertEquals(new NextStep.Refuse(1_000), POLICY.giveUp(progress(4_000, 9_000)));
    }

    private static CallProgress progress(long remainingMillis, long untilCapacityMillis) {
        return new CallProgress(false, 0, 0, 0, 1, remainingMillis, untilCapacityMillis);
    }
}
