package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Decodes the answer to one control call, once for both the check of the answer and the caller. Confined to one event
 * loop.
 *
 * @param <T> the content of the answer
 */
public final class AnswerDecoder<T> {

    private final Function<ControlReply.Answered, Optional<T>> decoder;
    private Optional<T> content = Optional.empty();
    private boolean isDecoded;

    /**
     * Creates a decoder for one call.
     *
     * @param decoder decodes an answer to a call of this kind and returns empty for any other, not null
     */
    public AnswerDecoder(Function<ControlReply.Answered, Optional<T>> decoder) {
        this.decoder = Objects.requireNonNull(decoder, "decoder");
    }

    /**
     * Returns a check of the call's answer by its content.
     *
     * @param mayAnswerCall returns whether such an answer may be the one to this call, and not to an earlier one, not null
     * @return the check
     */
    public AnswerCheck checkedBy(Predicate<? super T> mayAnswerCall) {
        return AnswerCheck.ofContent(this::decodeOnce, mayAnswerCall);
    }

    /**
     * Returns the content of the call's answer.
     *
     * @param reply the outcome of the call, not null
     * @return the content; empty if the answer was lost or is no answer to a call of this kind
     */
    public Optional<T> decode(ControlReply reply) {
        return reply instanceof ControlReply.Answered answered ? decodeOnce(answered) : Optional.empty();
    }

    private Optional<T> decodeOnce(ControlReply.Answered answered) {
        if (!isDecoded) {
            isDecoded = true;
            content = decoder.apply(answered);
        }
        return content;
    }
}
