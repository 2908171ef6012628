package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * Encodes responses to callers, those to HEAD requests without a body.
 *
 * <p>Failure: the body of a refusal, or the last chunk of a response, follows the head of a response to a HEAD request. The
 * caller takes these bytes for the beginning of its next response.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

    private final BooleanSupplier answersHeadRequest;

    /**
     * Creates an encoder.
     *
     * @param answersHeadRequest returns whether the response that is written answers a HEAD request, not null
     */
    CallerResponseEncoder(BooleanSupplier answersHeadRequest) {
        this.answersHeadRequest = Objects.requireNonNull(answersHeadRequest, "answersHeadRequest");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answersHeadRequest.getAsBoolean() || super.isContentAlwaysEmpty(response);
    }
}
