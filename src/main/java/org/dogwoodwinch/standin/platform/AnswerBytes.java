package org.dogwoodwinch.standin.platform;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;

/** Writes answers of HTTP/1.1 as bytes, for stand-ins whose bytes are not those of a sound encoder. */
final class AnswerBytes {

    private static final String LINE_END = "\r\n";
    private static final byte[] LAST_CHUNK = ascii("0" + LINE_END + LINE_END);

    private AnswerBytes() {}

    /** Returns the status line with its line end. */
    static byte[] statusLine(int status) {
        return ascii("HTTP/1.1 " + HttpResponseStatus.valueOf(status) + LINE_END);
    }

    /**
     * Returns the head of an answer.
     *
     * @param status the HTTP status
     * @param headers the headers in the order in which they are written, not null
     * @return the status line, the fields and the empty line
     */
    static byte[] head(int status, Collection<Map.Entry<String, String>> headers) {
        StringBuilder fields = new StringBuilder();
        headers.forEach(header -> fields.append(header.getKey())
                .append(": ")
                .append(header.getValue())
                .append(LINE_END));
        return join(statusLine(status), ascii(fields + LINE_END));
    }

    /** Returns a chunk with its length; the bytes must not be empty, since an empty chunk ends a body. */
    static byte[] chunk(byte[] body) {
        return join(ascii(Integer.toHexString(body.length) + LINE_END), body, ascii(LINE_END));
    }

    /** Returns the end of a body in chunks. */
    static byte[] lastChunk() {
        return LAST_CHUNK.clone();
    }

    /** Returns the bytes of several arrays in order. */
    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
