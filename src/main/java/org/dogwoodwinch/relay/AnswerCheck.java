package org.dogwoodwinch.relay;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Finds in an answer to a control call what shows that it is not the answer to that call.
 *
 * <p>Failure: a server answers a call twice, and the second answer arrives after the next call was written on the same
 * connection. Nothing in its head tells it from the answer to that call. The connection would also be one answer behind
 * from then on.
 */
@FunctionalInterface
public interface AnswerCheck {

    /** The lowest status of a failure. */
    int FIRST_FAILURE = 400;

    /** Finds nothing. */
    AnswerCheck NONE = _answer -> Optional.empty();

    /**
     * Returns a check of an answer by its decoded content. A failure without such content states nothing of its question
     * and is accepted: it only delays the next call.
     *
     * @param decoder decodes an answer to a call of this kind and returns empty for any other, not null
     * @param mayAnswerCall returns whether such an answer may be the one to this call, and not to an earlier one, not null
     * @param <T> the content
     * @return the check
     */
    static <T> AnswerCheck ofContent(
            Function<ControlReply.Answered, Optional<T>> decoder, Predicate<? super T> mayAnswerCall) {
        return answer -> {
            Optional<T> content = decoder.apply(answer);
            if (content.isPresent()) {
                return mayAnswerCall.test(content.get()) ? Optional.empty() : Optional.of("of_earlier_call");
            }
            return answer.status() >= FIRST_FAILURE ? Optional.empty() : Optional.of("of_other_kind");
        };
    }

    /**
     * Examines an answer.
     *
     * @param answer the answer, not null
     * @return the reason, for logs, why it is the answer to another call; empty if it may be the answer to this one
     */
    Optional<String> findContradiction(ControlReply.Answered answer);
}
