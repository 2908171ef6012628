package org.dogwoodwinch.standin.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.bytes.Bytes;

/**
 * Draws second answers: when they are sent, with which framing and order of fields, with or without the id of their
 * request, whole or cut off at any byte, and whether the connection is closed afterwards. Used on one event loop alone.
 */
public final class RandomStutter implements Stutter {

    private static final String REQUEST_ID = "request-id";
    private static final int MAX_DELAY_MILLIS = 25;
    private static final double WITHOUT_ID_SHARE = 0.4;
    private static final double CLOSES_SHARE = 0.15;

    private final UniformRandomProvider random;
    private final double secondAnswersShare;

    /**
     * Creates a decision.
     *
     * @param random draws, not null
     * @param secondAnswersShare the share of answers that are sent a second time, 0 to 1
     */
    public RandomStutter(UniformRandomProvider random, double secondAnswersShare) {
        this.random = Objects.requireNonNull(random, "random");
        this.secondAnswersShare = secondAnswersShare;
    }

    @Override
    public Optional<SecondAnswer> after(StandInRequest _request, GivenAnswer answer) {
        if (random.nextDouble() >= secondAnswersShare) {
            return Optional.empty();
        }
        SecondAnswer.Timing timing = draw(SecondAnswer.Timing.values());
        long delayMillis = random.nextInt(MAX_DELAY_MILLIS + 1);
        boolean closesAfter = random.nextDouble() < CLOSES_SHARE;
        return Optional.of(new SecondAnswer(drawBytes(answer), timing, delayMillis, closesAfter));
    }

    private Bytes drawBytes(GivenAnswer answer) {
        Framing framing = draw(Framing.values());
        List<Map.Entry<String, String>> headers =
                new ArrayList<>(answer.headers().entrySet());
        headers.sort(Map.Entry.comparingByKey());
        if (random.nextDouble() < WITHOUT_ID_SHARE) {
            headers.removeIf(header -> header.getKey().equals(REQUEST_ID));
        }
        byte[] body = answer.body().toByteArray();
        if (framing == Framing.LENGTH) {
            headers.add(Map.entry("content-length", Integer.toString(body.length)));
        } else if (framing == Framing.CHUNKED) {
            headers.add(Map.entry("transfer-encoding", "chunked"));
            body = chunked(body);
        }
        Collections.rotate(headers, random.nextInt(headers.size() + 1));
        byte[] head = AnswerBytes.head(answer.status(), headers);
        int lineLength = AnswerBytes.statusLine(answer.status()).length;
        return Bytes.of(Arrays.copyOf(AnswerBytes.join(head, body), drawLength(lineLength, head, body.length)));
    }

    private static byte[] chunked(byte[] body) {
        return body.length == 0
                ? AnswerBytes.lastChunk()
                : AnswerBytes.join(AnswerBytes.chunk(body), AnswerBytes.lastChunk());
    }

    /** Returns how many bytes are sent of an answer; at least one. */
    private int drawLength(int lineLength, byte[] head, int bodyLength) {
        return switch (draw(Cut.values())) {
            case NONE -> head.length + bodyLength;
            case IN_STATUS_LINE -> 1 + random.nextInt(lineLength);
            case IN_HEAD -> 1 + random.nextInt(head.length);
            case BETWEEN_FIELDS -> drawLineEnd(head);
            case IN_BODY -> head.length + random.nextInt(bodyLength + 1);
        };
    }

    private int drawLineEnd(byte[] head) {
        int[] lineEnds =
                IntStream.range(0, head.length).filter(i -> head[i] == '\n').toArray();
        return lineEnds[random.nextInt(lineEnds.length)] + 1;
    }

    private <T> T draw(T[] values) {
        return values[random.nextInt(values.length)];
    }

    private enum Framing {
        LENGTH,
        CHUNKED,
        NONE
    }

    private enum Cut {
        NONE,
        IN_STATUS_LINE,
        IN_HEAD,
        BETWEEN_FIELDS,
        IN_BODY
    }
}
