package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.OrderResult;

/**
 * The JSON body of an engine's answer to an order.
 *
 * @param result {@link #ACCEPTED}, {@link #FENCED} or {@link #REFUSED}
 * @param state the engine's state; null unless the order was accepted
 * @param highestFencingToken the highest fencing token that the engine has seen; set only if the order was fenced
 * @param detail a human-readable explanation; null if there is none
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record OrderReply(String result, EngineState state, long highestFencingToken, String detail) {

    /** The engine accepted the order. */
    public static final String ACCEPTED = "accepted";

    /** The engine refused the order because it has seen a higher fencing token. */
    public static final String FENCED = "fenced";

    /** The engine refused the order and changed nothing. */
    public static final String REFUSED = "refused";

    /**
     * Creates the reply for a result.
     *
     * @param result the result, not null and not {@link OrderResult.Unknown}
     * @return the reply
     * @throws IllegalArgumentException if the result is unknown, since an engine always knows the result
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
        throw new IllegalArgumentException("an engine cannot answer with the result " + result);
    }

    /**
     * Converts this reply to a result; a malformed reply results in {@link OrderResult.Unknown}.
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
