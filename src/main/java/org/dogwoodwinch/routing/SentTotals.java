package org.dogwoodwinch.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * What one instance sent to one target since it started; running totals, so that a lost message loses nothing.
 *
 * @param target the target's name, not null
 * @param prefillTokens prompt tokens to compute
 * @param decodeTokens tokens to generate, expected
 * @param requests attempts
 * @param urgentInFlight urgent attempts in flight at the moment
 * @param requestsInFlight attempts in flight at the moment
 * @param prefillTokensInFlight prompt tokens of those that have no first token yet
 * @param decodeTokensInFlight tokens expected of those in flight
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "target",
    "prefillTokens",
    "decodeTokens",
    "requests",
    "urgentInFlight",
    "requestsInFlight",
    "prefillTokensInFlight",
    "decodeTokensInFlight"
})
public record SentTotals(
        String target,
        long prefillTokens,
        long decodeTokens,
        long requests,
        int urgentInFlight,
        int requestsInFlight,
        long prefillTokensInFlight,
        long decodeTokensInFlight) {

    /** Checks the parts. */
    public SentTotals {
        Objects.requireNonNull(target, "target");
    }
}
