package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * Where a call goes.
 *
 * @param target runs it, not null
 * @param prefill reads its prompt first and hands the memory on, empty where the target reads it itself
 */
public record Plan(Incarnation target, Optional<Incarnation> prefill) {

    /** Checks. */
    public Plan {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(prefill, "prefill");
    }
}
