package org.dogwoodwinch.authority;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.target.Target;

/**
 * A group for which this instance holds a lease that has not expired.
 *
 * @param group the group, not null
 * @param holder the name of this process, not null
 * @param epoch the epoch of the lease
 * @param leaseRemainingMillis the remaining time of the lease, in milliseconds
 * @param heldForMillis the time since the claim was read back from the log, in milliseconds
 * @param engines the group's engines, not null
 */
record HeldGroup(
        String group, String holder, long epoch, long leaseRemainingMillis, long heldForMillis, List<Target> engines) {

    /** Validates and copies the components. */
    HeldGroup {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(holder, "holder");
        engines = List.copyOf(engines);
    }

    boolean hasEngine(String engine) {
        return engines.stream().anyMatch(candidate -> candidate.name().equals(engine));
    }
}
