package org.dogwoodwinch.roles;

import java.util.Objects;

/**
 * The constants of {@link RolePlanner}; users differ in the price alone.
 *
 * @param pricePerSecondAway how many answers in time a second of one engine away must at least bring
 * @param planningHorizonMillis over which time a change must pay, in milliseconds
 * @param shortHorizonMillis over which time recent demand is averaged, in milliseconds
 * @param longHorizonMillis over which time lasting demand is averaged, in milliseconds
 * @param groupDwellMillis the least time between two changes in one group, in milliseconds
 * @param engineDwellMillis the least time that an engine keeps a role, in milliseconds
 * @param drainMillis how long an engine takes to finish what it has before a change, in milliseconds
 * @param speed the engines' speed, not null
 */
public record RolePlanSettings(
        double pricePerSecondAway,
        long planningHorizonMillis,
        long shortHorizonMillis,
        long longHorizonMillis,
        long groupDwellMillis,
        long engineDwellMillis,
        long drainMillis,
        EngineSpeed speed) {

    /** The price at which goodput goes first, as Malabar wants it. */
    public static final double GOODPUT_FIRST_PRICE = 1;

    /** The price at which engines stay where they are unless much is won, as Albuquerque wants it. */
    public static final double STEADY_PRICE = 12;

    /** Checks the parts. */
    public RolePlanSettings {
        Objects.requireNonNull(speed, "speed");
    }

    /**
     * Returns the usual settings at a price.
     *
     * @param pricePerSecondAway the price
     * @return the settings
     */
    public static RolePlanSettings atPrice(double pricePerSecondAway) {
        return new RolePlanSettings(
                pricePerSecondAway, 60_000, 10_000, 45_000, 8_000, 30_000, 8_000, EngineSpeed.STANDARD);
    }
}
