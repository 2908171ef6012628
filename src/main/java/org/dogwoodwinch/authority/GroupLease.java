package org.dogwoodwinch.authority;

import java.util.Objects;

/**
 * The lease of an engine group, as determined by log order.
 *
 * @param holder the holder, not null
 * @param epoch the offset of the claim by which the holder got the group
 */
public record GroupLease(String holder, long epoch) {

    /** Validates the components. */
    public GroupLease {
        Objects.requireNonNull(holder, "holder");
    }
}
