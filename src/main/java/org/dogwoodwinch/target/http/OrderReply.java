package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.OrderResult;

/**
 * What an engine answers to an order.
 *
 * @param result {@link #ACCEPTED}, {@link #FENCED} or {@link #REFUSED}
 * @param state the engine's state; null unless accepted
 * @param highestFencingToken the token that the engine holds, where fenced
 * @param detail a sentence for people; null where there is none
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record OrderReply(String result, EngineState state, long highestFencingToken, String detail) {

    /** The engine took the order. */
    public static final String ACCEPTED = "accepted";

    /** The engine has seen a higher fencing token. */
    public static final String FENCED = "fenced";

    /** The engine refused and did nothing. */
    public static final String REFUSED = "refused";

    /**
     * Makes the reply of a result.
     *
     * @param result the result, not null and not unknown
     * @return the reply
     * @throws IllegalArgumentException if the result is unknown: an engine knows what it did
     */
    public static OrderReply of(OrderResult result) {
        if (result instanceof OrderResult.Accepted accepted) {
            return new OrderReply(ACCEPTED, accepted.state(), 0, null);
        }
        if (result instanceof OrderResult.Fenced fenced) {
            return new OrderReply(FENCED, null, fenced.highestToken(), null);
        }
        if (result instanceof OrderResult.Refused refused) {
            return new OrderReply(REFUSED, null, 0, refused.detail());
        }
        throw new IllegalArgumentException("an engine does not answer " + result);
    }

    /**
     * Returns the result; a reply that is not well-formed leaves it unknown.
     *
     * @return the result
     */
    public OrderResult toResult() {
        if (ACCEPTED.equals(result) && state != null) {
            return new OrderResult.Accepted(state);
        }
        if (FENCED.equals(result)) {
            return new OrderResult.Fenced(highestFencingToken);
        }
        if (REFUSED.equals(result)) {
            return new OrderResult.Refused(String.valueOf(detail));
        }
        return new OrderResult.Unknown("malformed reply: result " + result);
    }
}
