package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id names the part, not null
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {

    /** Checks. */
    public PromptPart {
        Objects.requireNonNull(id, "id");
    }
}
