package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/** The answer to a claimed request, stored on the log for resends. */
public sealed interface StoredAnswer {

    /**
     * A generated answer.
     *
     * @param text the complete text, not null
     * @param usage the tokens used, not null
     * @param finishReason the reason for which the generation ended, not null
     */
    record Generated(String text, TokenUsage usage, String finishReason) implements StoredAnswer {

        /** Checks that no component is null. */
        public Generated {
            Objects.requireNonNull(text, "text");
            Objects.requireNonNull(usage, "usage");
            Objects.requireNonNull(finishReason, "finishReason");
        }
    }

    /**
     * The answer of a plain service.
     *
     * @param answer the answer, not null
     */
    record Service(ServiceAnswer answer) implements StoredAnswer {

        /** Checks that the answer is not null. */
        public Service {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The answer was too long to store. The engine may still have the stream that the claim refers to.
     *
     * @param answerBytes the length of the answer, in bytes or, where its text was not collected, in characters
     */
    record TooLong(long answerBytes) implements StoredAnswer {}

    /**
     * Applies the function that corresponds to the type of this answer.
     *
     * @param generated for {@link Generated}
     * @param service for {@link Service}
     * @param tooLong for {@link TooLong}
     * @param <T> the result type of the functions
     * @return the result of the function applied
     */
    default <T> T match(
            Function<Generated, T> generated, Function<ServiceAnswer, T> service, Function<TooLong, T> tooLong) {
        if (this instanceof Generated value) {
            return generated.apply(value);
        }
        if (this instanceof Service value) {
            return service.apply(value.answer());
        }
        return tooLong.apply((TooLong) this);
    }

    /**
     * Returns the length of the answer, which is compared with the limit on stored answers.
     *
     * @return the length of the UTF-8 text or of the body, in bytes
     */
    default long answerBytes() {
        return match(
                generated -> (long) Bytes.ofUtf8(generated.text()).length(),
                service -> (long) service.body().length(),
                TooLong::answerBytes);
    }
}
