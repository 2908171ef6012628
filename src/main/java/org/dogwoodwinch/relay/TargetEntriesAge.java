package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * How old the entries of targets are by which calls are sent, beside the time within which a leaving target gets no more.
 *
 * @param ageMillis supplies the time for which the entries are not known to be complete, evaluated on each send, not null
 * @param promisedMillis within which a leaving target gets no more calls, counted from the store's acknowledgement
 * @param usableMillis by which an instance has to know; the rest of the promised time is for the way of a call
 */
public record TargetEntriesAge(LongSupplier ageMillis, long promisedMillis, long usableMillis) {

    /** Checks that the supplier is not null. */
    public TargetEntriesAge {
        Objects.requireNonNull(ageMillis, "ageMillis");
    }

    /**
     * Returns whether a call that is sent on entries of an age may reach a target after the promised time.
     *
     * @param millis the age
     * @return whether an instance has to know more by then
     */
    public boolean isOld(long millis) {
        return millis > usableMillis;
    }

    /**
     * Returns whether the entries are that old now.
     *
     * @return whether an instance has to know more than they say
     */
    public boolean isOld() {
        return isOld(ageMillis.getAsLong());
    }
}
