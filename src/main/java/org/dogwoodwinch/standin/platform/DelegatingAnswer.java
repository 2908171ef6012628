package org.dogwoodwinch.standin.platform;

import java.util.Map;
import java.util.Objects;

/** Passes all that is written as an answer on to another answer. */
class DelegatingAnswer implements StandInAnswer {

    private final StandInAnswer answer;

    DelegatingAnswer(StandInAnswer answer) {
        this.answer = Objects.requireNonNull(answer, "answer");
    }

    @Override
    public void whole(int status, Map<String, String> headers, byte[] body) {
        answer.whole(status, headers, body);
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        answer.begin(status, headers);
    }

    @Override
    public void beginUnframed(int status, Map<String, String> headers) {
        answer.beginUnframed(status, headers);
    }

    @Override
    public void chunk(byte[] body) {
        answer.chunk(body);
    }

    @Override
    public void end() {
        answer.end();
    }

    @Override
    public void raw(byte[] bytes) {
        answer.raw(bytes);
    }

    @Override
    public void close() {
        answer.close();
    }

    @Override
    public void reset() {
        answer.reset();
    }

    @Override
    public boolean open() {
        return answer.open();
    }
}
