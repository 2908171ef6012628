package org.dogwoodwinch.queueing;

import java.util.Objects;

/**
 * What the targets of a service can take now.
 *
 * @param capacity whether they can take the call that was asked for, not null
 * @param freeWork the tokens that fit into the prefill queues of engines, or the free slots of other targets
 * @param ownCallsCount the calls of this instance at the targets
 * @param allCallsCount the calls of all instances at the targets, as far as they are known
 */
public record Room(Capacity capacity, double freeWork, long ownCallsCount, long allCallsCount) {

    /** Validates the components. */
    public Room {
        Objects.requireNonNull(capacity, "capacity");
    }
}
