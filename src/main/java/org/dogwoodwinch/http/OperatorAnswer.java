package org.dogwoodwinch.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * An answer to an operator.
 *
 * @param status the HTTP status
 * @param contentType the body's media type, not null
 * @param body the body, not null
 */
public record OperatorAnswer(int status, String contentType, Bytes body) {

    private static final int OK = 200;

    /** Checks the parts. */
    public OperatorAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Makes an answer of a line of text.
     *
     * @param status the HTTP status
     * @param line the line, without its end, not null
     * @return the answer
     */
    public static OperatorAnswer text(int status, String line) {
        byte[] content = (line + "\n").getBytes(StandardCharsets.UTF_8);
        return new OperatorAnswer(status, "text/plain; charset=utf-8", Bytes.of(content));
    }

    /**
     * Makes an answer of JSON with status 200.
     *
     * @param value what is written as JSON, not null
     * @return the answer
     */
    public static OperatorAnswer json(Object value) {
        return json(OK, value);
    }

    /**
     * Makes an answer of JSON.
     *
     * @param status the HTTP status
     * @param value what is written as JSON, not null
     * @return the answer
     */
    public static OperatorAnswer json(int status, Object value) {
        return new OperatorAnswer(status, Replies.JSON, Bytes.of(EdgeJson.write(value)));
    }
}
