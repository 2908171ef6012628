package org.dogwoodwinch.measure.capacity;

import java.util.List;
import java.util.Objects;

/**
 * One line of the table: from a measured slope to what it comes to at the target size.
 *
 * @param role which part of the system, not null
 * @param quantity what is counted, with its unit, not null
 * @param slope what was measured, not null
 * @param projected what it comes to at the target size, not null
 * @param budget the most that it may be, not null
 * @param verdict how the two compare, not null
 * @param mechanism what carries it, or would, not null
 */
public record CapacityRow(
        String role,
        String quantity,
        String slope,
        String projected,
        String budget,
        CapacityVerdict verdict,
        String mechanism) {

    /** The heads of the table. */
    public static final List<String> COLUMNS =
            List.of("role", "quantity", "measured", "at the target size", "budget", "verdict", "carried by");

    /** Checks the parts. */
    public CapacityRow {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(quantity, "quantity");
        Objects.requireNonNull(slope, "slope");
        Objects.requireNonNull(projected, "projected");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(mechanism, "mechanism");
    }

    /**
     * Makes a line for something that cannot be measured yet.
     *
     * @param role which part of the system, not null
     * @param quantity what would be counted, not null
     * @param budget the most that it may be, not null
     * @param why what is missing, not null
     * @return the line
     */
    public static CapacityRow notMeasured(String role, String quantity, String budget, String why) {
        return new CapacityRow(role, quantity, "-", "-", budget, CapacityVerdict.NOT_MEASURED, why);
    }

    /**
     * Returns the cells in the order of {@link #COLUMNS}.
     *
     * @return the cells
     */
    public List<String> cells() {
        return List.of(role, quantity, slope, projected, budget, verdict.label(), mechanism);
    }
}
