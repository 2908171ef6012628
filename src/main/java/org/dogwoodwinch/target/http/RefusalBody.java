package org.dogwoodwinch.target.http;

import java.util.Optional;
import org.dogwoodwinch.target.TargetFailure;

/**
 * A target's explicit refusal, as a problem JSON document.
 *
 * <p>Only {@code run: "not-run"} proves that the request did not run. Status 503 alone proves nothing, since a proxy or
 * a handler that failed midway answers the same.
 *
 * @param status the HTTP status
 * @param reason {@link #OVERLOADED}, {@link #LEAVING} or another reason
 * @param run {@link #NOT_RUN} if the request did not run
 * @param detail a human-readable explanation
 * @param retryAfterMillis when to retry, in milliseconds from now; zero if the target does not state it
 */
public record RefusalBody(int status, String reason, String run, String detail, long retryAfterMillis) {

    /** The value of {@code run} that proves that the request did not run. */
    public static final String NOT_RUN = "not-run";

    /** The reason of a target that refuses because of overload. */
    public static final String OVERLOADED = "overloaded";

    /** The reason of a target that refuses because it is draining. */
    public static final String LEAVING = "leaving";

    /** The media type of refusals. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Parses a refusal from an answer.
     *
     * @param contentType the answer's media type, not null
     * @param body the answer's body, not null
     * @return the refusal, or empty if the answer does not prove that the request did not run
     */
    public static Optional<TargetFailure> parse(String contentType, byte[] body) {
        if (!contentType.startsWith(MEDIA_TYPE)) {
            return Optional.empty();
        }
        return TargetJson.read(body, RefusalBody.class)
                .filter(refusal -> NOT_RUN.equals(refusal.run()))
                .map(RefusalBody::toFailure);
    }

    private TargetFailure toFailure() {
        return new TargetFailure.Refused(
                detail == null ? "" : detail,
                OVERLOADED.equals(reason),
                LEAVING.equals(reason),
                Math.max(0, retryAfterMillis));
    }
}
