package org.dogwoodwinch.queueing;

import java.util.Objects;

/**
 * The call that is sent next.
 *
 * @param call the call, not null
 * @param isOnShare whether the call takes the turn of a more urgent one, because its priority has got less than its
 *     share
 */
public record QueueTurn(WaitingCall call, boolean isOnShare) {

    /** Validates the components. */
    public QueueTurn {
        Objects.requireNonNull(call, "call");
    }

    /**
     * Returns the priority with which targets are examined for capacity.
     *
     * <p>Failure: a target's prefill queue is always full of more urgent prompts under overload. Examined at its own
     * priority, a call that takes the turn of a more urgent one finds capacity nowhere, and its share has no effect.
     *
     * @return the priority of the call, or the most urgent one if the call takes another one's turn
     */
    public int capacityPriority() {
        return isOnShare ? 0 : call.priority();
    }
}
