package org.dogwoodwinch.catalogue;

import java.util.Objects;

/**
 * One entry of the catalogue: what a caller may ask for by name.
 *
 * @param name the name that callers use as the model or the service, unique, not null
 * @param owner the name of the owner who may call it, not null
 * @param workClass the class of work, not null
 * @param group the name of the target group that serves it, not null
 * @param repeatable whether a call may run more than once without harm (idempotent)
 * @param deadlineMillis the deadline of a call that names none, in milliseconds, more than zero
 * @param limits what this entry may use, not null
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
     * Checks the parts.
     *
     * @throws IllegalArgumentException if the deadline is not more than zero
     */
    public CatalogueEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(workClass, "workClass");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(limits, "limits");
        if (deadlineMillis <= 0) {
            throw new IllegalArgumentException("deadlineMillis must be more than zero: " + deadlineMillis);
        }
    }
}
