package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Base64;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

/**
 * A {@link KeptAnswer} as it stands on the log.
 *
 * @param kind {@code g} generated, {@code s} service, {@code l} too long
 * @param text the generated text, the service's body in Base64, or empty
 * @param label the finish reason or the media type
 * @param first prompt tokens, HTTP status, or length in bytes
 * @param second cached prompt tokens, or zero
 * @param third generated tokens, or zero
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

    static StoredAnswerRecord of(KeptAnswer answer) {
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

    KeptAnswer toStoredAnswer() {
        if (kind.equals(GENERATED)) {
            return new KeptAnswer.Generated(text, new Usage(first, second, third), label);
        }
        if (kind.equals(SERVICE)) {
            Bytes body = Bytes.of(Base64.getDecoder().decode(text));
            return new KeptAnswer.Service(new ServiceAnswer((int) first, label, body));
        }
        return new KeptAnswer.TooLong(first);
    }
}
