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
    public static final TargetLoad NOTHING = new TargetLoad(0, ReadQueue.EMPTY);

    /** Checks. */
    public TargetLoad {
        Objects.requireNonNull(unread, "unread");
    }

    TargetLoad plus(TargetLoad other) {
        return new TargetLoad(callsCount + other.callsCount, unread.plus(other.unread));
    }

    TargetLoad minus(TargetLoad other) {
        return new TargetLoad(callsCount - other.callsCount, unread.minus(other.unread));
    }
}
