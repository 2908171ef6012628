package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * A segment of a prompt that other requests may share.
 *
 * @param id the segment's id, not null
 * @param tokens the length of the segment
 */
public record PromptSegment(String id, int tokens) {

    /** Validates the components. */
    public PromptSegment {
        Objects.requireNonNull(id, "id");
    }
}
