package org.dogwoodwinch.catalogue;

import java.util.Objects;

/**
 * An entry of the catalogue: a model or service that callers may request by name.
 *
 * @param name the unique name that callers use for the model or service, not null
 * @param owner the name of the owner whose calls are allowed, not null
 * @param workClass the class of work, not null
 * @param group the name of the target group that serves it, not null
 * @param repeatable whether calls are idempotent, so that a call may run more than once
 * @param deadlineMillis the default deadline of a call, in milliseconds, greater than zero
 * @param limits the limits of this entry, not null
 */
public record CatalogueEntry(
        String name,
        String owner,
        WorkClass workClass,
        String group,
        boolean repeatable,
        long deadlineMillis,
        Limits limits) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the deadline is not greater than zero
     */
    public CatalogueEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(limits, "limits");
        if (deadlineMillis <= 0) {
            throw new IllegalArgumentException("deadlineMillis must be greater than zero: " + deadlineMillis);
        }
    }
}
