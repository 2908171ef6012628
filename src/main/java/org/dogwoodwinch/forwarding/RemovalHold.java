package org.dogwoodwinch.forwarding;

/**
 * Decides how long the removal of a target is held back that may only have lapsed in an outage of the store. Times are
 * monotonic milliseconds.
 *
 * <p>Failure: while the store is away the entries of sound targets lapse, and every call is refused until they are back.
 *
 * <p>Failure: a removal is held back for a time that counts from its reading, and a target that left gets calls after the
 * promised time, which counts from the store's acknowledgement. As long as that time can be kept at all, it is.
 *
 * @param promisedMillis within which a target that left gets its last call, counted from the acknowledgement
 * @param renewalMillis within which sound targets whose entries lapsed are known again, counted from the store's return
 */
public record RemovalHold(long promisedMillis, long renewalMillis) {

    /**
     * Returns until when a removal is held back.
     *
     * @param nowMillis the current time
     * @param acknowledgedAfterMillis a moment before which the removal was not acknowledged
     * @param storeReturnedMillis when the store last came back after it had been away for all instances
     * @return the time at which the removal takes effect if the target is not listed again by then; not after now if it
     *     takes effect at once
     */
    public long heldUntilMillis(long nowMillis, long acknowledgedAfterMillis, long storeReturnedMillis) {
        long renewedMillis = storeReturnedMillis + renewalMillis;
        long promisedUntilMillis = acknowledgedAfterMillis + promisedMillis;
        // What the store may have acknowledged so long before its return could not be known in time by anyone.
        boolean isPromiseLost = promisedUntilMillis <= storeReturnedMillis;
        return Math.max(nowMillis, isPromiseLost ? renewedMillis : Math.min(renewedMillis, promisedUntilMillis));
    }
}
