package org.dogwoodwinch.scaling;

import java.util.HashMap;
import java.util.Map;

/**
 * Determines which ordered engines are not expected to become ready. Not thread-safe.
 *
 * <p>Once a pool is short of engines, it remains so until all of them are ready: between two orders that the platform
 * refuses, it is not known whether there are engines again, and substitutes that were released then would be ordered
 * again at the next refusal.
 */
final class EngineShortage {

    private final Map<EnginePool, Missing> missingByPool = new HashMap<>();

    /**
     * Records the engines of a pool.
     *
     * @param pool the pool, not null
     * @param plannedCount the number of engines that the last plan orders there
     * @param readyCount the number of them that accept calls
     * @param unavailable whether the platform has no more of them at the moment
     * @param startTimeoutMillis time after which an ordered engine is no longer expected
     * @param nowMillis monotonic milliseconds
     * @return the number of engines that are ordered and not expected
     */
    int record(
            EnginePool pool,
            int plannedCount,
            int readyCount,
            boolean unavailable,
            long startTimeoutMillis,
            long nowMillis) {
        if (readyCount >= plannedCount) {
            missingByPool.remove(pool);
            return 0;
        }
        Missing last = missingByPool.get(pool);
        boolean hasProgress = last == null || plannedCount > last.plannedCount || readyCount > last.readyCount;
        long sinceMillis = hasProgress ? nowMillis : last.sinceMillis;
        boolean isShort = unavailable || (last != null && last.isShort) || nowMillis - sinceMillis > startTimeoutMillis;
        missingByPool.put(pool, new Missing(plannedCount, readyCount, sinceMillis, isShort));
        return isShort ? plannedCount - readyCount : 0;
    }

    /** The engines of a pool at the last record at which some of them were missing. */
    private record Missing(int plannedCount, int readyCount, long sinceMillis, boolean isShort) {}
}
