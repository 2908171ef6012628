package org.dogwoodwinch.admission;

/**
 * How owners' limits are shared between the instances.
 *
 * @param homeIndex this instance's place among the homes, from zero; no two live instances may have the same
 * @param homeCount how many homes there are: the number of entry instances the operators run
 * @param longestTermMillis the longest time for which units are lent, in milliseconds
 * @param marginMillis what a lender adds to a term before it takes units back, for clocks that run at slightly
 *     different speeds, in milliseconds
 * @param publishMillis the time between notes to the peers, in milliseconds
 */
public record ShareSettings(
        int homeIndex, int homeCount, long longestTermMillis, long marginMillis, long publishMillis) {

    /** The settings of an instance that runs alone: it has every limit to itself. */
    public static final ShareSettings ALONE = new ShareSettings(0, 1, 60_000, 1_000, 300);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if the index is not below the count, or a time is not more than zero
     */
    public ShareSettings {
        if (homeIndex < 0 || homeIndex >= homeCount) {
            throw new IllegalArgumentException("homeIndex must be from 0 to below homeCount: " + homeIndex);
        }
        if (longestTermMillis <= 0 || marginMillis <= 0 || publishMillis <= 0) {
            throw new IllegalArgumentException("times must be more than zero");
        }
    }

    /**
     * Returns how many units of a limit have their home here.
     *
     * @param limitId names the limit, not null; it decides which homes get the units that do not divide evenly
     * @param totalUnits the whole limit
     * @return the units, so that all homes together have exactly the limit
     */
    public long homeUnits(String limitId, long totalUnits) {
        long remainderRank = Math.floorMod(homeIndex + (long) limitId.hashCode(), (long) homeCount);
        return totalUnits / homeCount + (remainderRank < totalUnits % homeCount ? 1 : 0);
    }

    /**
     * Returns how long a restarted home waits for grants of its former life to end, where its peers do not answer.
     *
     * @return milliseconds
     */
    public long restartWaitMillis() {
        return longestTermMillis + marginMillis;
    }
}
