package org.dogwoodwinch.scaling;

import java.util.HashMap;
import java.util.Map;

/**
 * Which ordered spot engines do not come. Not thread-safe.
 *
 * <p>Once a data centre is short of spot engines, it remains so until all of them are ready: between two orders that the
 * platform refuses, it is not known whether there are engines again, and on-demand engines that were released then would
 * be ordered again at the next refusal.
 */
final class SpotShortage {

    private final Map<String, Missing> missingByDataCentre = new HashMap<>();

    /**
     * Records the spot engines of a data centre.
     *
     * @param dataCentre the data centre, not null
     * @param plannedCount the number of spot engines that the last plan orders there
     * @param readyCount the number of them that accept calls
     * @param unavailable whether the platform has no more of them at the moment
     * @param patienceMillis time after which an ordered engine is no longer expected
     * @param nowMillis monotonic milliseconds
     * @return the number of engines that are ordered and not expected
     */
    int record(
            String dataCentre,
            int plannedCount,
            int readyCount,
            boolean unavailable,
            long patienceMillis,
            long nowMillis) {
        if (readyCount >= plannedCount) {
            missingByDataCentre.remove(dataCentre);
            return 0;
        }
        Missing last = missingByDataCentre.get(dataCentre);
        boolean hasProgress = last == null || plannedCount > last.plannedCount || readyCount > last.readyCount;
        long sinceMillis = hasProgress ? nowMillis : last.sinceMillis;
        boolean isShort = unavailable || (last != null && last.isShort) || nowMillis - sinceMillis > patienceMillis;
        missingByDataCentre.put(dataCentre, new Missing(plannedCount, readyCount, sinceMillis, isShort));
        return isShort ? plannedCount - readyCount : 0;
    }

    /** The spot engines of a data centre that were missing at the last record. */
    private record Missing(int plannedCount, int readyCount, long sinceMillis, boolean isShort) {}
}
