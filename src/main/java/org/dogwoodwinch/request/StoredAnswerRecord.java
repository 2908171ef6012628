package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Base64;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/**
 * The form in which a {@link StoredAnswer} is stored on the log.
 *
 * @param kind {@code g} for a generated answer, {@code s} for a service answer, {@code l} for an answer that was too
 *     long
 * @param text the generated text, the service's body in Base64, or empty
 * @param label the finish reason of a generated answer, the media type of a service answer, or empty
 * @param first the prompt tokens, the HTTP status, or the length in bytes, depending on the kind
 * @param second the cached prompt tokens of a generated answer, otherwise zero
 * @param third the generated tokens of a generated answer, otherwise zero
 */
record StoredAnswerRecord(
        @JsonProperty("k") String kind,
        @JsonProperty("x") String text,
        @JsonProperty("l") String label,
        @JsonProperty("n") long first,
        @JsonProperty("m") long second,
        @JsonProperty("p") long third) {

    private static final String GENERATED = "g";
    private static final String SERVICE = "s";
    private static final String TOO_LONG = "l";

    static StoredAnswerRecord of(StoredAnswer answer) {
        return answer.match(
                generated -> new StoredAnswerRecord(
                        GENERATED,
                        generated.text(),
                        generated.finishReason(),
                        generated.usage().promptTokens(),
                        generated.usage().cachedPromptTokens(),
                        generated.usage().completionTokens()),
                service -> new StoredAnswerRecord(
                        SERVICE,
                        Base64.getEncoder().encodeToString(service.body().toByteArray()),
                        service.contentType(),
                        service.status(),
                        0,
                        0),
                tooLong -> new StoredAnswerRecord(TOO_LONG, "", "", tooLong.answerBytes(), 0, 0));
    }

    StoredAnswer toStoredAnswer() {
        if (kind.equals(GENERATED)) {
            return new StoredAnswer.Generated(text, new TokenUsage(first, second, third), label);
        }
        if (kind.equals(SERVICE)) {
            Bytes body = Bytes.of(Base64.getDecoder().decode(text));
            return new StoredAnswer.Service(new ServiceAnswer((int) first, label, body));
        }
        return new StoredAnswer.TooLong(first);
    }
}
