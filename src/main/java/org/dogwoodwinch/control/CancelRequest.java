package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * An operator's request to cancel a planned change.
 *
 * @param author the author of the cancellation, not null
 */
public record CancelRequest(String author) {

    /** Validates the components. */
    public CancelRequest {
        Objects.requireNonNull(author, "author");
    }
}
