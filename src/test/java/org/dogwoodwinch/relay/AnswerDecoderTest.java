package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.bytes.Bytes;
import org.junit.jupiter.api.Test;

class AnswerDecoderTest {

    private final AtomicInteger decodingsCount = new AtomicInteger();
    private final AnswerDecoder<String> decoder = new AnswerDecoder<>(answer -> {
        decodingsCount.incrementAndGet();
        return Optional.of(answer.body().toUtf8()).filter(text -> !text.isEmpty());
    });

    private static ControlReply.Answered answer(String body) {
        return new ControlReply.Answered(200, EmptyHttpHeaders.INSTANCE, Bytes.ofUtf8(body));
    }

    /** Failure: each poll of an engine decodes a long list twice. */
    @Test
    void answerIsDecodedOnceForItsCheckAndItsCaller() {
        ControlReply.Answered answer = answer("own");

        assertEquals(Optional.empty(), decoder.checkedBy("own"::equals).findContradiction(answer));
        assertEquals(Optional.of("own"), decoder.decode(answer));
        assertEquals(1, decodingsCount.get());
    }

    @Test
    void answerThatWasNotCheckedIsDecoded() {
        assertEquals(Optional.of("own"), decoder.decode(answer("own")));
        assertEquals(Optional.empty(), decoder.decode(new ControlReply.Lost("timeout")));
    }

    @Test
    void answersOfOtherCallsAndKindsContradict() {
        assertEquals(
                Optional.of("of_earlier_call"), decoder.checkedBy("own"::equals).findContradiction(answer("other")));
        assertEquals(
                Optional.of("of_other_kind"),
                new AnswerDecoder<String>(_answer -> Optional.empty())
                        .checkedBy(_content -> true)
                        .findContradiction(answer("")));
    }
}
