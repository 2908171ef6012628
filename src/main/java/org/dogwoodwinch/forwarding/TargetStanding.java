package org.dogwoodwinch.forwarding;

import java.util.function.Function;

/**
 * How a target differs from the other targets of its service.
 *
 * @param timeRatio its time as a multiple of what the others need for the same work; one if it does not stand out
 * @param failureShare the share of its calls that fail beyond that of the others, from 0 to 1
 */
public record TargetStanding(double timeRatio, double failureShare) {

    /** The standing of a target that does not stand out. */
    public static final TargetStanding EQUAL = new TargetStanding(1, 0);

    /** Treats all targets as equal. */
    public static final Function<Incarnation, TargetStanding> ALL_EQUAL = _target -> EQUAL;

    /**
     * Returns whether the target differs from the others.
     *
     * @return false for a target that is to be chosen as if nothing was known of it
     */
    public boolean standsOut() {
        return timeRatio != 1 || failureShare > 0;
    }

    /**
     * Returns whether the target is slower than the others.
     *
     * @return whether its ratio is above one
     */
    public boolean isSlow() {
        return timeRatio > 1;
    }
}
