package org.dogwoodwinch.roles;

import java.util.Objects;

/**
 * The parameters of {@link RolePlanner}. Deployments differ in the price only.
 *
 * @param pricePerSecondAway the minimum number of additional answers within their deadlines for each second that one
 *     engine is unavailable, on top of the answers lost meanwhile
 * @param planningHorizonMillis the time within which a change must pay off, in milliseconds
 * @param shortHorizonMillis the time over which short-term demand is averaged, in milliseconds
 * @param longHorizonMillis the time over which long-term demand is averaged, in milliseconds
 * @param groupDwellMillis the minimum time between two changes in one group, in milliseconds
 * @param engineDwellMillis the minimum time that an engine keeps a role, in milliseconds
 * @param drainMillis the time that an engine takes to finish its requests before a change, in milliseconds
 * @param speed the engines' speed, not null
 */
public record RolePlannerSettings(
        double pricePerSecondAway,
        long planningHorizonMillis,
        long shortHorizonMillis,
        long longHorizonMillis,
        long groupDwellMillis,
        long engineDwellMillis,
        long drainMillis,
        EngineSpeed speed) {

    /** The price that favours goodput over stable roles, used by the Malabar deployment. */
    public static final double GOODPUT_FIRST_PRICE = 1;

    /** The price that changes roles only for a large gain, used by the Albuquerque deployment. */
    public static final double STABILITY_FIRST_PRICE = 12;

    /** Checks the components. */
    public RolePlannerSettings {
        Objects.requireNonNull(speed, "speed");
    }

    /**
     * Returns the default settings with the given price.
     *
     * @param pricePerSecondAway the minimum number of additional answers within their deadlines for each second that
     *     one engine is unavailable, on top of the answers lost meanwhile
     * @return the settings
     */
    public static RolePlannerSettings withPrice(double pricePerSecondAway) {
        return new RolePlannerSettings(
                pricePerSecondAway, 60_000, 10_000, 45_000, 8_000, 30_000, 8_000, EngineSpeed.STANDARD);
    }
}
