package org.dogwoodwinch.authority;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps the weight loads of all instances together within the rate that the weight store allows. Not thread-safe.
 *
 * <p>An intent that loads weights carries a sequence number that is unique in the fleet; {@link AuthorityState} accepts
 * each number once. A load counts towards the rate from its intent until one minute after its outcome was read, so it
 * does not matter when exactly the holder or its successor sent the order.
 */
final class WeightLoadLimiter {

    private static final long WINDOW_MILLIS = 60_000;
    private static final long RATE_MAX_AGE_MILLIS = 30_000;

    private final Map<Long, Long> endedMillisByIntent = new HashMap<>();
    private long rateReadMillis = Long.MIN_VALUE / 2;
    private int allowedPerMinute;

    /**
     * Records the time at which the outcomes of loads were first seen.
     *
     * @param table the engines' last orders, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void recordEndedLoads(EngineTable table, long nowMillis) {
        table.engines().values().stream()
                .filter(entry -> entry.loadsWeights() && entry.state() != EngineEntry.State.OPEN)
                .forEach(entry -> endedMillisByIntent.putIfAbsent(entry.intent(), nowMillis));
        Set<Long> currentIntents =
                table.engines().values().stream().map(EngineEntry::intent).collect(Collectors.toSet());
        endedMillisByIntent
                .entrySet()
                .removeIf(entry ->
                        !currentIntents.contains(entry.getKey()) && nowMillis - entry.getValue() >= WINDOW_MILLIS);
    }

    /**
     * Stores the rate that the weight store allows; an answer of zero or less leaves the stored rate unchanged.
     *
     * @param newAllowedPerMinute the allowed loads a minute; zero or less if the store did not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    void updateRate(int newAllowedPerMinute, long nowMillis) {
        if (newAllowedPerMinute > 0) {
            allowedPerMinute = newAllowedPerMinute;
            rateReadMillis = nowMillis;
        }
    }

    /**
     * Returns whether the stored rate is too old and must be read again.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true if no rate was read within the greatest accepted age
     */
    boolean isRateStale(long nowMillis) {
        return nowMillis - rateReadMillis >= RATE_MAX_AGE_MILLIS;
    }

    /**
     * Returns whether one more load may start.
     *
     * @param table the engines' last orders, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return true if the rate is known and fewer loads than allowed are open or ended less than one minute ago
     */
    boolean isLoadAllowed(EngineTable table, long nowMillis) {
        long openLoads = table.engines().values().stream()
                .filter(entry -> entry.loadsWeights() && entry.state() == EngineEntry.State.OPEN)
                .count();
        long recentLoads = endedMillisByIntent.values().stream()
                .filter(endedMillis -> nowMillis - endedMillis < WINDOW_MILLIS)
                .count();
        return !isRateStale(nowMillis) && openLoads + recentLoads < allowedPerMinute;
    }
}
