package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The owner of a call.
 *
 * @param name the owner's name, as targets receive it, not null
 * @param priority the priority of all its calls, where zero is the most urgent; empty if the route decides
 */
public record CallOwner(String name, OptionalInt priority) {

    /** Validates the components. */
    public CallOwner {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(priority, "priority");
    }

    /**
     * Returns the priority of a call of this owner.
     *
     * @param route the route of the call, not null
     * @return the owner's priority, or that of the route if the owner has none
     */
    public int priorityOn(ServiceRoute route) {
        return priority.orElse(route.priority());
    }
}
