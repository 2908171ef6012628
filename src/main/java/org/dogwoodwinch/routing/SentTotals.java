package org.dogwoodwinch.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;

/**
 * The load that one instance sent to one target since the instance started. The totals are cumulative, so that a later
 * message makes up for a lost one.
 *
 * @param target the target's name, not null
 * @param prefillTokens prompt tokens to compute
 * @param decodeTokens tokens expected to be generated
 * @param requests attempts
 * @param urgentInFlight urgent attempts in flight at present
 * @param requestsInFlight attempts in flight at present
 * @param prefillTokensInFlight prompt tokens of the attempts in flight without a first token yet
 * @param decodeTokensInFlight tokens expected of the attempts in flight
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

    /** Checks the components. */
    public SentTotals {
        Objects.requireNonNull(target, "target");
    }
}
