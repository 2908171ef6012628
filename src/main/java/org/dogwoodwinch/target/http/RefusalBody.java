package org.dogwoodwinch.target.http;

import java.util.Optional;
import org.dogwoodwinch.target.TargetFailure;

/**
 * A target's explicit refusal, as problem JSON.
 *
 * <p>Only {@code run: "not-run"} proves that nothing ran; a bare 503 proves nothing, since a proxy or a handler that
 * failed half-way answers the same.
 *
 * @param status the HTTP status
 * @param reason {@link #OVERLOADED}, {@link #LEAVING} or another word
 * @param run {@link #NOT_RUN} where nothing ran
 * @param detail a sentence for people
 * @param retryAfterMillis when to come back, in milliseconds; zero where the target does not say
 */
public record RefusalBody(int status, String reason, String run, String detail, long retryAfterMillis) {

    /** The word that proves non-execution. */
    public static final String NOT_RUN = "not-run";

    /** The reason of a target that refuses for load. */
    public static final String OVERLOADED = "overloaded";

    /** The reason of a target that is leaving. */
    public static final String LEAVING = "leaving";

    /** The media type of refusals. */
    public static final String MEDIA_TYPE = "application/problem+json";

    /**
     * Reads a refusal out of an answer.
     *
     * @param contentType the answer's media type, not null
     * @param body the answer's body, not null
     * @return the refusal, or empty where the answer does not prove that nothing ran
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
