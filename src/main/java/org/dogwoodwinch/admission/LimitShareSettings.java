package org.dogwoodwinch.admission;

/**
 * Settings for sharing the owners' limits among the instances.
 *
 * @param homeIndex the home index of this instance, from zero; no two live instances may have the same index
 * @param homeCount the number of homes, which is the number of entry instances that the operators run
 * @param maxTermMillis the maximum term for which units are lent, in milliseconds
 * @param clockDriftMarginMillis time after the end of a term before the lender uses the units again, in milliseconds; it allows
 *     for clocks that run at slightly different speeds
 * @param publishIntervalMillis the interval between messages to the peers, in milliseconds
 */
public record LimitShareSettings(
        int homeIndex, int homeCount, long maxTermMillis, long clockDriftMarginMillis, long publishIntervalMillis) {

    /** The settings of a single instance, which has all units of every limit. */
    public static final LimitShareSettings SINGLE_INSTANCE = new LimitShareSettings(0, 1, 60_000, 1_000, 300);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if the index is not in [0, {@code homeCount}) or a time is not positive
     */
    public LimitShareSettings {
        if (homeIndex < 0 || homeIndex >= homeCount) {
            throw new IllegalArgumentException("homeIndex must be at least 0 and less than homeCount: " + homeIndex);
        }
        if (maxTermMillis <= 0 || clockDriftMarginMillis <= 0 || publishIntervalMillis <= 0) {
            throw new IllegalArgumentException("maximum term, margin and publish interval must be greater than 0 ms");
        }
    }

    /**
     * Returns the number of units of a limit whose home is this instance.
     *
     * @param limitId the identifier of the limit, not null; it determines which homes get the units that cannot be
     *     divided evenly
     * @param totalUnits the limit over all instances
     * @return the number of units; the sum over all homes is exactly the limit
     */
    public long homeUnits(String limitId, long totalUnits) {
        long remainderRank = Math.floorMod(homeIndex + (long) limitId.hashCode(), (long) homeCount);
        return totalUnits / homeCount + (remainderRank < totalUnits % homeCount ? 1 : 0);
    }

    /**
     * Returns the time for which a restarted home waits for the grants of its previous incarnation to expire if its
     * peers do not acknowledge the new incarnation.
     *
     * @return the time, in milliseconds
     */
    public long restartWaitMillis() {
        return maxTermMillis + clockDriftMarginMillis;
    }
}
