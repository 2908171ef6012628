package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.2;
    private static final double SLACK = 52;

    /** Restarts must not let all instances together exceed the ratio of the requests in or near a window plus slack. */
    @Property(seed = "31", tries = 60)
    void retriesOfAllInstancesStayWithinBound(
            @ForAll @IntRange(min = 1, max = 80) int instances, @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            budgets.add(restarted(instances, -WINDOW_MILLIS));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        double perTick = 1 + random.nextInt(10);
        for (long now = 0; now < 40_000; now += 50) {
            boolean lull = (now / 7_000) % 3 == 2;
            int arrivals = lull ? 0 : random.nextInt((int) (2 * perTick) + 1);
            for (int i = 0; i < arrivals; i++) {
                RetryBudget budget = budgets.get(random.nextInt(instances));
                budget.countRequest("s", now);
                requests.add(now);
            }
            if (random.nextInt(20) == 0) {
                budgets.set(random.nextInt(instances), restarted(instances, now));
            }
            for (RetryBudget budget : budgets) {
                if (random.nextInt(4) == 0 && budget.tryTakeRetry("s", now)) {
                    retries.add(now);
                }
            }
        }
        for (long from = 0; from <= 30_000; from += 250) {
            long start = from;
            long inWindow = count(retries, start, start + WINDOW_MILLIS);
            long most = Math.max(
                    count(requests, start, start + WINDOW_MILLIS),
                    Math.max(
                            count(requests, start - WINDOW_MILLIS, start),
                            count(requests, start - WINDOW_MILLIS / 2, start + WINDOW_MILLIS / 2)));
            assertTrue(
                    inWindow <= RATIO * most + SLACK,
                    () -> inWindow + " retries, " + most + " requests from " + start + " at " + instances);
        }
    }

    private static RetryBudget restarted(int instances, long startedMillis) {
        return new RetryBudget(RATIO, () -> SLACK / instances, WINDOW_MILLIS, startedMillis);
    }

    private static long count(List<Long> times, long from, long to) {
        return times.stream().filter(at -> at >= from && at < to).count();
    }

    /** A retry is counted for a window and one slice, since it arrives later than it was taken. */
    @Test
    void retryIsAvailableAgainAfterWindowAndOneSlice() {
        RetryBudget budget = new RetryBudget(0, () -> 1, WINDOW_MILLIS, -WINDOW_MILLIS);
        long availableMillis = WINDOW_MILLIS + WINDOW_MILLIS / 20;
        assertTrue(budget.tryTakeRetry("s", 0));
        assertFalse(budget.tryTakeRetry("s", availableMillis - 1));

        assertTrue(budget.tryTakeRetry("s", availableMillis));
    }

    /** Guards against a fleet that spends its slack twice within one window that begins between two slices. */
    @Test
    void slackIsNotSpentTwiceInAnyWindow() {
        int instances = 48;
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            budgets.add(new RetryBudget(RATIO, () -> 3 * SLACK / instances, WINDOW_MILLIS, -WINDOW_MILLIS));
        }
        List<Long> retries = new ArrayList<>();
        for (long now = 400; now <= 40_400; now += 20) {
            for (RetryBudget budget : budgets) {
                if (budget.tryTakeRetry("s", now)) {
                    retries.add(now);
                }
            }
        }
        for (long from = 0; from <= 30_000; from += 10) {
            assertTrue(count(retries, from, from + WINDOW_MILLIS) <= 3 * SLACK, "window from " + from);
        }
    }

    /** A restarted process does not know what it spent, so it has no slack for one window. */
    @Test
    void slackIsAvailableOneWindowAfterStart() {
        RetryBudget budget = new RetryBudget(0, () -> 5, WINDOW_MILLIS, 1_000);

        assertFalse(budget.tryTakeRetry("s", 1_000 + WINDOW_MILLIS - 1));
        assertTrue(budget.tryTakeRetry("s", 1_000 + WINDOW_MILLIS));
    }

    @Test
    void retriesAreCountedPerService() {
        RetryBudget budget = new RetryBudget(0, () -> 1, WINDOW_MILLIS, -WINDOW_MILLIS);
        assertTrue(budget.tryTakeRetry("s", 0));

        assertFalse(budget.tryTakeRetry("s", 1));
        assertEquals(1, budget.remaining("other", 1));
    }
}
