package org.dogwoodwinch.standin.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writes the successful answer of a plain stand-in target, and what the target does wrong with it. */
final class PlainSuccess {

    private PlainSuccess() {}

    /**
     * Writes the answer.
     *
     * @param head the headers but for the framing, not null
     * @param body the whole body, not null
     * @param answer writes the answer, not null
     * @param fault what the target does wrong, not null
     */
    static void write(Map<String, String> head, byte[] body, StandInAnswer answer, TargetFault fault) {
        switch (fault) {
            case UNFRAMED -> {
                answer.beginUnframed(200, head);
                answer.chunk(body);
                answer.end();
            }
            case UNFRAMED_CUT -> {
                answer.beginUnframed(200, head);
                answer.reset();
            }
            case CUT -> {
                List<Map.Entry<String, String>> fields = new ArrayList<>(head.entrySet());
                fields.add(Map.entry("content-length", "999"));
                answer.raw(AnswerBytes.join(AnswerBytes.head(200, fields), "half".getBytes(StandardCharsets.US_ASCII)));
                answer.close();
            }
            case EXTRA_ANSWER -> {
                answer.whole(200, head, body);
                answer.whole(200, head, body);
            }
            default -> answer.whole(200, head, body);
        }
    }
}
