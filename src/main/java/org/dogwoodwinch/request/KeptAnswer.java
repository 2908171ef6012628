package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

/** The answer of a claimed request, kept on the log for a resend. */
public sealed interface KeptAnswer {

    /**
     * A generated answer.
     *
     * @param text the whole text, not null
     * @param usage what it cost, not null
     * @param finishReason why it ended, not null
     */
    record Generated(String text, Usage usage, String finishReason) implements KeptAnswer {

        /** Checks the parts. */
        public Generated {
            Objects.requireNonNull(text, "text");
            Objects.requireNonNull(usage, "usage");
            Objects.requireNonNull(finishReason, "finishReason");
        }
    }

    /**
     * A plain service's answer.
     *
     * @param answer the answer, not null
     */
    record Service(ServiceAnswer answer) implements KeptAnswer {

        /** Checks the parts. */
        public Service {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The answer was too long to keep; the engine may still have the stream that the claim names.
     *
     * @param answerBytes how long it was, in bytes
     */
    record TooLong(long answerBytes) implements KeptAnswer {}

    /**
     * Calls the function of this answer's kind.
     *
     * @param generated for {@link Generated}
     * @param service for {@link Service}
     * @param tooLong for {@link TooLong}
     * @param <T> what the functions return
     * @return what the function returned
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
     * Returns the answer's length, for the bound on what is kept.
     *
     * @return bytes of UTF-8 or of the body
     */
    default long answerBytes() {
        return match(
                generated -> (long) Bytes.ofUtf8(generated.text()).length(),
                service -> (long) service.body().length(),
                TooLong::answerBytes);
    }
}
