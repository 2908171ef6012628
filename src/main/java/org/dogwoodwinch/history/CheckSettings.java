package org.dogwoodwinch.history;

/**
 * The numbers behind the users' "a few seconds" and "within seconds".
 *
 * @param leavingGraceMillis how long after the first sign a leaving target may still receive work, in milliseconds
 * @param inForceWithinMillis how long after its acceptance an edit may still not be in force somewhere, in
 *     milliseconds; time in which a fault kept an instance from the log does not count
 */
public record CheckSettings(long leavingGraceMillis, long inForceWithinMillis) {

    /** A few seconds for a leaving target, and the 11 s of the target size for an edit. */
    public static final CheckSettings STANDARD = new CheckSettings(5_000, 11_000);
}
