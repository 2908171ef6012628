package org.dogwoodwinch.authority;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps all instances together within the weight store's loads a minute. Not thread-safe.
 *
 * <p>An intent that loads weights carries a number from one count for the whole fleet; the fold takes each number once.
 * A load counts against the minute from its intent until a minute after its end was read: when exactly its holder, or a
 * successor, sent it in between is then of no matter.
 */
final class WeightLoadLimiter {

    private static final long WINDOW_MILLIS = 60_000;
    private static final long RATE_MAX_AGE_MILLIS = 30_000;

    private final Map<Long, Long> endedMillisByIntent = new HashMap<>();
    private long rateReadMillis = Long.MIN_VALUE / 2;
    private int allowedPerMinute;

    /**
     * Notes which loads have ended.
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
     * Notes what the weight store allows.
     *
     * @param newAllowedPerMinute the loads a minute; zero or less where the store did not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    void updateRate(int newAllowedPerMinute, long nowMillis) {
        if (newAllowedPerMinute > 0) {
            allowedPerMinute = newAllowedPerMinute;
            rateReadMillis = nowMillis;
        }
    }

    /**
     * Says whether what the store allows must be asked again.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true where its last answer is old
     */
    boolean isRateStale(long nowMillis) {
        return nowMillis - rateReadMillis >= RATE_MAX_AGE_MILLIS;
    }

    /**
     * Says whether one more load may begin.
     *
     * @param table the engines' last orders, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return true where fewer loads than allowed are under way or ended less than a minute ago
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
