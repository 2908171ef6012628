package org.dogwoodwinch.authority;

import java.util.Objects;

/**
 * Who holds an engine group, by log order.
 *
 * @param holder the holder, not null
 * @param epoch the offset of the claim that gave it the group
 */
public record GroupLease(String holder, long epoch) {

    /** Checks the parts. */
    public GroupLease {
        Objects.requireNonNull(holder, "holder");
    }
}
