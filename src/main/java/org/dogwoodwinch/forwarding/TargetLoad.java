package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * What is under way at a target.
 *
 * @param callsCount calls that were sent and have not ended
 * @param unread the prompts of calls that show no event yet, not null
 */
public record TargetLoad(int callsCount, ReadQueue unread) {

    /** Nothing is under way. */
    public static final TargetLoad EMPTY = new TargetLoad(0, ReadQueue.EMPTY);

    /** Checks. */
    public TargetLoad {
        Objects.requireNonNull(unread, "unread");
    }

    /**
     * Says whether nothing is under way.
     *
     * @return whether there is neither a call nor a prompt that waits
     */
    public boolean isEmpty() {
        return callsCount == 0 && unread.equals(ReadQueue.EMPTY);
    }

    /**
     * Returns the sum.
     *
     * @param other what else is under way, not null
     * @return both together
     */
    public TargetLoad plus(TargetLoad other) {
        return new TargetLoad(callsCount + other.callsCount, unread.plus(other.unread));
    }

    /**
     * Returns the difference.
     *
     * @param other a part of this, not null
     * @return what is left
     */
    public TargetLoad minus(TargetLoad other) {
        return new TargetLoad(callsCount - other.callsCount, unread.minus(other.unread));
    }
}
