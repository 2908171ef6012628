package org.dogwoodwinch.authority;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.target.Target;

/**
 * A group that this instance holds with a live lease.
 *
 * @param group the group, not null
 * @param holder this process, not null
 * @param epoch the epoch of its lease
 * @param leaseRemainingMillis how much of the lease is left
 * @param heldForMillis how long ago the claim was read back
 * @param engines the group's engines, not null
 */
record HeldGroup(
        String group, String holder, long epoch, long leaseRemainingMillis, long heldForMillis, List<Target> engines) {

    /** Checks and copies the parts. */
    HeldGroup {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(holder, "holder");
        engines = List.copyOf(engines);
    }

    boolean hasEngine(String engine) {
        return engines.stream().anyMatch(candidate -> candidate.name().equals(engine));
    }
}
