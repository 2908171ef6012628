package org.dogwoodwinch.cli;

import java.util.Objects;

/**
 * What an operators' listener replied.
 *
 * @param status the HTTP status
 * @param body the body, not null
 */
public record OperatorReply(int status, String body) {

    /** Checks the parts. */
    public OperatorReply {
        Objects.requireNonNull(body, "body");
    }

    /**
     * Says whether the call succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
