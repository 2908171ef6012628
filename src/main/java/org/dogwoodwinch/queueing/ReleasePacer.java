package org.dogwoodwinch.queueing;

/**
 * Limits the calls that one instance sends from its queue to its part of the capacity that all instances observe. Not
 * thread-safe.
 *
 * <p>Failure: loads of other instances are known late. When one target has capacity again, every instance sends a
 * waiting call there, and the calls wait at the target, where neither owners nor deadlines count.
 */
public final class ReleasePacer {

    /** Follows a change of the callers' instances while their calls can still be answered. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    /** Maximum time for which capacity is taken into account, so that a queue that was empty sends no burst. */
    private static final long MAX_ELAPSED_MILLIS = 50;

    private final DecayingSum ownCalls = new DecayingSum(TIME_CONSTANT_MILLIS);
    private final DecayingSum allCalls = new DecayingSum(TIME_CONSTANT_MILLIS);
    private double creditWork;
    private long updatedMillis;

    /**
     * Returns whether the next call may be sent. The part of this instance is that of its calls at the targets, because
     * callers may be at few instances.
     *
     * @param room what the targets can take, not null
     * @param turnoverMillis the time within which all instances together may use the free capacity
     * @param instancesCount the number of instances, at least one
     * @param nowMillis the time in monotonic milliseconds
     * @return whether a call may be sent, which is reported by {@link #recordRelease}
     */
    public boolean mayRelease(Room room, long turnoverMillis, int instancesCount, long nowMillis) {
        long elapsedMillis = Math.min(MAX_ELAPSED_MILLIS, nowMillis - updatedMillis);
        if (elapsedMillis > 0) {
            updatedMillis = nowMillis;
            ownCalls.add((double) room.ownCallsCount() * elapsedMillis, nowMillis);
            allCalls.add((double) room.allCallsCount() * elapsedMillis, nowMillis);
            double earned = room.freeWork() * elapsedMillis / turnoverMillis / sharersCount(instancesCount, nowMillis);
            creditWork = Math.min(creditWork, 0) + earned;
        }
        return creditWork > 0 || sharersCount(instancesCount, nowMillis) <= 1;
    }

    /**
     * Records that a call is sent.
     *
     * @param work its work in the unit of {@link Room#freeWork}
     */
    public void recordRelease(long work) {
        creditWork -= work;
    }

    /** Returns the number of instances of the same demand as this one that share the targets. */
    private double sharersCount(int instancesCount, long nowMillis) {
        double all = allCalls.at(nowMillis);
        double own = ownCalls.at(nowMillis);
        return all == 0 ? 1 : Math.max(1, Math.min(instancesCount, all / Math.max(own, Double.MIN_NORMAL)));
    }
}
