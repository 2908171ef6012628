package org.dogwoodwinch.standin.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

/** Adds one header to an answer, whatever the answer is. */
final class AnswerWithHeader extends DelegatingAnswer {

    private final String name;
    private final Supplier<String> value;

    /**
     * Wraps an answer.
     *
     * @param answer writes the answer, not null
     * @param name the header's name, not null
     * @param value supplies the header's value when the answer is written, not null
     */
    AnswerWithHeader(StandInAnswer answer, String name, Supplier<String> value) {
        super(answer);
        this.name = Objects.requireNonNull(name, "name");
        this.value = Objects.requireNonNull(value, "value");
    }

    @Override
    public void whole(int status, Map<String, String> headers, byte[] body) {
        super.whole(status, withHeader(headers), body);
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        super.begin(status, withHeader(headers));
    }

    @Override
    public void beginUnframed(int status, Map<String, String> headers) {
        super.beginUnframed(status, withHeader(headers));
    }

    private Map<String, String> withHeader(Map<String, String> headers) {
        Map<String, String> all = new HashMap<>(headers);
        all.put(name, value.get());
        return all;
    }
}
