package org.dogwoodwinch.standin.platform;

import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

/** Records what is written as an answer. Bytes that are written as they are belong to no answer and are not recorded. */
final class RecordedAnswer extends DelegatingAnswer {

    private final Supplier<AnswerRecorder> newRecorder;
    private AnswerRecorder recorder = new AnswerRecorder();

    /**
     * Wraps an answer.
     *
     * @param answer writes the answer, not null
     * @param newRecorder creates the record of an answer when it begins, not null
     */
    RecordedAnswer(StandInAnswer answer, Supplier<AnswerRecorder> newRecorder) {
        super(answer);
        this.newRecorder = Objects.requireNonNull(newRecorder, "newRecorder");
    }

    @Override
    public void whole(int status, Map<String, String> headers, byte[] body) {
        beginRecord(status, headers);
        recorder.add(body);
        recorder.end();
        super.whole(status, headers, body);
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        beginRecord(status, headers);
        super.begin(status, headers);
    }

    @Override
    public void beginUnframed(int status, Map<String, String> headers) {
        beginRecord(status, headers);
        super.beginUnframed(status, headers);
    }

    private void beginRecord(int status, Map<String, String> headers) {
        recorder = newRecorder.get();
        recorder.begin(status, headers);
    }

    @Override
    public void chunk(byte[] body) {
        recorder.add(body);
        super.chunk(body);
    }

    @Override
    public void end() {
        recorder.end();
        super.end();
    }
}
