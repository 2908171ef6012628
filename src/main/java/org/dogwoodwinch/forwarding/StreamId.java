package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * Identifies a stream by the attempt of a caller that brought its first event. Two owners may use the same request id:
 * with its owner, an id neither finds nor changes anything of another owner's stream.
 *
 * @param owner the name of the owner on whose behalf the call runs; empty if it has none, not null
 * @param service the service whose target began the stream, not null
 * @param requestId the request id of that attempt, not null
 */
public record StreamId(String owner, String service, String requestId) {

    /** Longer ids are not recorded, since a caller chooses them and each is held in memory. */
    private static final int MAX_REQUEST_ID_LENGTH = 128;

    /** Validates the components. */
    public StreamId {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(requestId, "requestId");
    }

    /**
     * Returns whether the begin of the stream can be recorded.
     *
     * @return false if its request id is empty or too long
     */
    public boolean isRecordable() {
        return isRecordable(requestId);
    }

    /**
     * Returns whether the begin of a stream with a request id can be recorded.
     *
     * @param requestId the request id, not null
     * @return false if it is empty or too long
     */
    public static boolean isRecordable(String requestId) {
        return !requestId.isEmpty() && requestId.length() <= MAX_REQUEST_ID_LENGTH;
    }
}
