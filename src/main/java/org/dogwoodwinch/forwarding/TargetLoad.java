package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * The calls in flight at a target.
 *
 * @param callsCount number of calls that were sent and have not ended
 * @param prefillQueue the prompts of calls without a first event, not null
 */
public record TargetLoad(int callsCount, PrefillQueue prefillQueue) {

    /** No calls in flight. */
    public static final TargetLoad EMPTY = new TargetLoad(0, PrefillQueue.EMPTY);

    /** Validates the components. */
    public TargetLoad {
        Objects.requireNonNull(prefillQueue, "prefillQueue");
    }

    /**
     * Returns whether there is neither a call in flight nor a prompt that waits.
     *
     * @return whether the load is empty
     */
    public boolean isEmpty() {
        return callsCount == 0 && prefillQueue.equals(PrefillQueue.EMPTY);
    }

    /**
     * Returns the number of calls whose prompts have been prefilled, which is that of the streams that are decoded.
     *
     * @return the number, not negative
     */
    public int streamsCount() {
        return Math.max(0, callsCount - prefillQueue.totalPrompts());
    }

    /**
     * Returns the sum of this load and another.
     *
     * @param other the other load, not null
     * @return the sum
     */
    public TargetLoad plus(TargetLoad other) {
        return new TargetLoad(callsCount + other.callsCount, prefillQueue.plus(other.prefillQueue));
    }

    /**
     * Returns the difference of this load and a part of it.
     *
     * @param other the part to subtract, not null
     * @return the difference
     */
    public TargetLoad minus(TargetLoad other) {
        return new TargetLoad(callsCount - other.callsCount, prefillQueue.minus(other.prefillQueue));
    }
}
