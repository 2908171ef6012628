package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Whether the head of a response proves that the response belongs to the call that waits on a connection.
 *
 * <p>Failure: a target answers a call twice, the second time late and cut off. The next call on the connection gets the
 * status of the second answer with the id, the fields and the body of its own, and a failure reaches its caller as a
 * success. On the first call of a connection there is no answer to another call, so its head is accepted without an id. A
 * status line in it is accepted if it states the same status: then the status is true whichever of the two lines it is from.
 */
sealed interface HeadVerdict {

    /** Judges the head of a response. */
    @FunctionalInterface
    interface Judge {

        /**
         * Judges the head of a response.
         *
         * @param status the status in its first line
         * @param identity what the head states, not null
         * @param requestId the id of the call that waits, not null
         * @param firstCall whether it is the first call on its connection
         * @return the verdict
         */
        HeadVerdict judge(int status, ResponseIdentity identity, String requestId, boolean firstCall);
    }

    /** The response belongs to the call. */
    record Own() implements HeadVerdict {}

    /**
     * The response belongs to an earlier call.
     *
     * @param requestId the id of that call, not null
     */
    record OfOtherCall(String requestId) implements HeadVerdict {}

    /**
     * It is unknown to which call the response belongs, and where it began.
     *
     * @param reason the reason for logs and metrics, not null
     */
    record Unproved(String reason) implements HeadVerdict {}

    /** The head states no request id. */
    String WITHOUT_ID = "without_id";

    /** The head states different request ids. */
    String SEVERAL_IDS = "several_ids";

    /** Another status line stands in the head: the beginning of one head and the whole of another were joined. */
    String INNER_STATUS_LINE = "inner_status_line";

    /**
     * Judges the head of a response of a target.
     *
     * @param status the status in its first line
     * @param identity what the head states, not null
     * @param requestId the id of the call that waits, not null
     * @param firstCall whether it is the first call on its connection
     * @return the verdict
     */
    static HeadVerdict ofTarget(int status, ResponseIdentity identity, String requestId, boolean firstCall) {
        Objects.requireNonNull(requestId, "requestId");
        List<String> ids = identity.requestIds();
        boolean isJoined = identity.innerStatusLine() == InnerStatusLine.BEFORE_ID
                && !(firstCall && identity.innerStatus().getAsInt() == status);
        if (ids.isEmpty() && !firstCall) {
            return new Unproved(WITHOUT_ID);
        }
        if (Set.copyOf(ids).size() > 1) {
            return new Unproved(SEVERAL_IDS);
        }
        if (ids.isEmpty() || ids.get(0).equals(requestId)) {
            return isJoined ? new Unproved(INNER_STATUS_LINE) : new Own();
        }
        return identity.innerStatusLine() == InnerStatusLine.NONE
                ? new OfOtherCall(ids.get(0))
                : new Unproved(INNER_STATUS_LINE);
    }

    /**
     * Judges the head of a response of another instance, which answers each call once, and names no call where it could not
     * read one.
     *
     * @param status the status in its first line
     * @param identity what the head states, not null
     * @param requestId the id of the call that waits, not null
     * @param firstCall whether it is the first call on its connection
     * @return the verdict
     */
    static HeadVerdict ofInstance(int status, ResponseIdentity identity, String requestId, boolean firstCall) {
        return identity.requestIds().isEmpty() ? new Own() : ofTarget(status, identity, requestId, firstCall);
    }
}
