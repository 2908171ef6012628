package org.dogwoodwinch.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.dogwoodwinch.request.Refusal;

/**
 * A refusal as problem JSON (RFC 9457).
 *
 * @param type a stable URI of the reason
 * @param title the reason in words
 * @param status the HTTP status
 * @param detail a sentence for people
 * @param reason the stable reason that programs match on
 * @param run whether the request ran: {@code not-run} or {@code may-have-run}
 * @param field the field at fault; null where none is
 * @param requestId names the request
 * @param retryAfterMillis when to come back, in milliseconds; null where coming back does not help
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
        String type,
        String title,
        int status,
        String detail,
        String reason,
        String run,
        String field,
        String requestId,
        Long retryAfterMillis) {

    /** The media type. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:dogwoodwinch:refusal:";

    /**
     * Makes the problem of a refusal.
     *
     * @param refusal the refusal, not null
     * @param requestId names the request, not null
     * @return the problem
     */
    public static Problem of(Refusal refusal, String requestId) {
        String label = refusal.reason().label();
        return new Problem(
                TYPE_PREFIX + label,
                label.replace('_', ' '),
                refusal.reason().status(),
                refusal.detail(),
                label,
                refusal.runState().label(),
                refusal.field().isEmpty() ? null : refusal.field(),
                requestId,
                refusal.retryAfterMillis() > 0 ? refusal.retryAfterMillis() : null);
    }
}
