package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * How old the entries of targets are by which calls are sent, beside the time within which a leaving target gets no more.
 *
 * @param ageMillis supplies the time for which the entries are not known to be complete, evaluated on each send, not null
 * @param promisedMillis within which a leaving target gets no more calls, counted from the store's acknowledgement
 */
public record TargetEntriesAge(LongSupplier ageMillis, long promisedMillis) {

    /** Tenths of the promised time beyond which entries are old: what remains is as long as the way of a call. */
    private static final int OLD_TENTHS = 9;

    private static final int TENTHS = 10;

    /** Checks that the supplier is not null. */
    public TargetEntriesAge {
        Objects.requireNonNull(ageMillis, "ageMillis");
    }

    /** Returns whether a call that is sent on entries of this age may reach a target after the promised time. */
    boolean isOld(long millis) {
        return millis > promisedMillis * OLD_TENTHS / TENTHS;
    }
}
