package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Locale;

/**
 * What a caller has received for one request, parsed without the product's own decoders.
 *
 * @param status the status; 0 if no whole head was received
 * @param headers the lines of the head after the first one, with names in lower case, sorted
 * @param body the body without its framing, as far as it was received
 * @param complete whether the framing shows that the whole answer was received and nothing follows it
 */
record ReceivedAnswer(int status, List<String> headers, String body, boolean complete) {

    private static final ReceivedAnswer NOTHING = new ReceivedAnswer(0, List.of(), "", false);
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LINE_END = "\r\n";
    private static final int STATUS_AT = "HTTP/1.1 ".length();
    private static final int STATUS_LENGTH = 3;
    private static final int HEXADECIMAL = 16;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /**
     * Parses what a caller received.
     *
     * @param text all bytes that the caller received for one request
     * @param method the method of the request
     * @return the answer as far as it was received
     */
    static ReceivedAnswer parse(String text, String method) {
        int headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) {
            return NOTHING;
        }
        int status = Integer.parseInt(text.substring(STATUS_AT, STATUS_AT + STATUS_LENGTH));
        List<String> headers = text.substring(0, headEnd)
                .lines()
                .skip(1)
                .map(ReceivedAnswer::withLowerCaseName)
                .sorted()
                .toList();
        String rest = text.substring(headEnd + HEAD_END.length());
        if (method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED) {
            return new ReceivedAnswer(status, headers, rest, rest.isEmpty());
        }
        if (headers.contains("transfer-encoding: chunked")) {
            return parseChunks(status, headers, rest);
        }
        int length = Integer.parseInt(valueOf(headers, "content-length"));
        return new ReceivedAnswer(status, headers, rest, rest.length() == length);
    }

    private static String withLowerCaseName(String line) {
        int colon = line.indexOf(':');
        return line.substring(0, colon).toLowerCase(Locale.ROOT) + line.substring(colon);
    }

    private static ReceivedAnswer parseChunks(int status, List<String> headers, String rest) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        int lineEnd = rest.indexOf(LINE_END, at);
        while (lineEnd >= 0) {
            int length = Integer.parseInt(rest.substring(at, lineEnd), HEXADECIMAL);
            int dataAt = lineEnd + LINE_END.length();
            if (length == 0) {
                return new ReceivedAnswer(
                        status, headers, body.toString(), rest.substring(dataAt).equals(LINE_END));
            }
            body.append(rest, dataAt, Math.min(rest.length(), dataAt + length));
            at = Math.min(rest.length(), dataAt + length + LINE_END.length());
            lineEnd = rest.indexOf(LINE_END, at);
        }
        return new ReceivedAnswer(status, headers, body.toString(), false);
    }

    private static String valueOf(List<String> headers, String name) {
        return headers.stream()
                .filter(line -> line.startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    boolean isSuccess() {
        return status / 100 == 2;
    }

    /** Returns the signature of the target; empty if the answer has none. */
    String stamp() {
        return valueOf(headers, "server-stamp");
    }

    /** Returns whether this is the beginning of another answer, which may be the whole of it. */
    boolean isBeginOf(ReceivedAnswer other) {
        return equals(other)
                || (!complete
                        && status == other.status
                        && headers.equals(other.headers)
                        && other.body.startsWith(body));
    }
}
