package org.dogwoodwinch.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * A sound answer of a target, and what its caller has to receive.
 *
 * @param name names it in messages
 * @param method the method of the call
 * @param path the path of the call, which selects the route
 * @param text the bytes of the answer, with {@link #ID} where the id of the call stands
 * @param status the status that the caller receives
 * @param body the body that the caller receives
 * @param header a line of the head that the caller receives, with the name in lower case
 */
record SoundAnswer(String name, String method, String path, String text, int status, String body, String header) {

    /** Stands for the id of the call. */
    static final String ID = "{id}";

    static final String STAMP = "s-1";

    private static final String OK = "HTTP/1.1 200 OK";
    private static final String ID_LINE = "Request-Id: " + ID;
    private static final String STAMP_LINE = "Server-Stamp: " + STAMP;
    private static final String PLAIN_BODY = "body";
    private static final String LENGTH_LINE = "Content-Length: 4";
    private static final String CHUNKED_LINE = "Transfer-Encoding: chunked";
    private static final String ANY_HEADER = "server-stamp: " + STAMP;
    private static final String LONG_BODY = "0123456789abcdef".repeat(20_000);
    private static final String ANSWER_AS_BODY = "HTTP/1.1 500 No\r\nRequest-Id: b1\r\nContent-Length: 0\r\n\r\n";
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

    /** Returns this answer to the call with an id. */
    String textFor(String id) {
        return text.replace(ID, id);
    }

    @Override
    public String toString() {
        return name;
    }

    /** Returns answers after which the connection can carry the next call. */
    static List<SoundAnswer> keepingConnection() {
        List<SoundAnswer> answers = new ArrayList<>();
        answers.add(ofStatusLine("plain", OK));
        answers.add(ofStatusLine("empty reason phrase", "HTTP/1.1 200 "));
        answers.add(ofStatusLine("no reason phrase and no space", "HTTP/1.1 200"));
        answers.add(ofStatusLine("reason phrase with colons", "HTTP/1.1 200 OK: Date: 5"));
        answers.add(ofStatusLine("reason phrase with tab", "HTTP/1.1 200 all\tgood"));
        answers.add(ofStatusLine("reason phrase with bytes above ASCII", "HTTP/1.1 200 \u00E9t\u00E9"));
        answers.add(ofStatusLine("reason phrase with HTTP version", "HTTP/1.1 200 Answered as HTTP/1.1"));
        answers.add(ofStatusLine("long reason phrase", "HTTP/1.1 200 " + "fine ".repeat(400)));
        answers.addAll(withFields());
        answers.addAll(afterInterimHeads());
        answers.addAll(framed());
        answers.addAll(ofOtherStatus());
        return answers;
    }

    private static List<SoundAnswer> withFields() {
        return List.of(
                ofHead("id as first field", head(OK, ID_LINE, STAMP_LINE, LENGTH_LINE), ANY_HEADER),
                ofHead("id as last field", head(OK, STAMP_LINE, LENGTH_LINE, ID_LINE), ANY_HEADER),
                ofHead(
                        "names in lower case",
                        head(OK, "request-id: " + ID, "server-stamp: " + STAMP, "content-length: 4", "x-a: b"),
                        "x-a: b"),
                ofHead(
                        "names in upper case",
                        head(OK, "REQUEST-ID: " + ID, "SERVER-STAMP: " + STAMP, "CONTENT-LENGTH: 4", "X-A: b"),
                        "x-a: b"),
                ofHead(
                        "no space and much space around values",
                        head(OK, "Request-Id:" + ID, "Server-Stamp: \t" + STAMP + " \t ", "Content-Length:4"),
                        ANY_HEADER),
                ofField("empty value", "X-Empty:", "x-empty: "),
                ofField("empty value after space", "X-Empty: ", "x-empty: "),
                ofField("folded value", "X-Folded: one\r\n two", "x-folded: one two"),
                ofField("HTTP version in Via", "Via: HTTP/1.1 proxy", "via: HTTP/1.1 proxy"),
                ofField("value with colons", "X-Time: 10:20:30", "x-time: 10:20:30"),
                ofField("value with bytes above ASCII", "X-Name: \u00E9t\u00E9", "x-name: \u00E9t\u00E9"),
                ofField("two lines of one name", "X-A: 1\r\nX-A: 2", "x-a: 2"),
                ofField("keep-alive", "Connection: keep-alive\r\nKeep-Alive: timeout=5", ANY_HEADER),
                ofField("value of 7,000 bytes", "X-Long: " + "v".repeat(7_000), "x-long: " + "v".repeat(7_000)),
                ofField("600 fields", "X-Many: some value of a field\r\n".repeat(600) + "X-Last: y", "x-last: y"));
    }

    private static List<SoundAnswer> afterInterimHeads() {
        String answer = head(OK, ID_LINE, STAMP_LINE, LENGTH_LINE) + PLAIN_BODY;
        return List.of(
                ofText("100 before", "HTTP/1.1 100 Continue\r\n\r\n" + answer),
                ofText("103 before", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n" + answer),
                ofText("100 with id before", "HTTP/1.1 100 Continue\r\n" + ID_LINE + "\r\n\r\n" + answer),
                ofText("two interim heads before", "HTTP/1.1 102 \r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + answer));
    }

    private static List<SoundAnswer> framed() {
        String chunkedHead = head(OK, ID_LINE, STAMP_LINE, CHUNKED_LINE);
        return List.of(
                of("length 0", "GET", head(OK, ID_LINE, STAMP_LINE, "Content-Length: 0"), 200, ""),
                of("large body", "GET", head(OK, ID_LINE, STAMP_LINE, lengthOf(LONG_BODY)) + LONG_BODY, 200, LONG_BODY),
                of("large chunk", "GET", chunkedHead + RelayFixture.chunk(LONG_BODY) + "0\r\n\r\n", 200, LONG_BODY),
                of("empty chunked body", "GET", chunkedHead + "0\r\n\r\n", 200, ""),
                of(
                        "chunks with extensions and trailers",
                        "GET",
                        chunkedHead + "2;a=b\r\nbo\r\n02;c=\"d\"\r\ndy\r\n000;e\r\nX-Sum: 4\r\nX-End: y\r\n\r\n",
                        200,
                        PLAIN_BODY),
                of(
                        "chunk lengths in both cases",
                        "GET",
                        chunkedHead + "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n",
                        200,
                        "01234567890123456789"),
                of(
                        "body that looks like an answer",
                        "GET",
                        head(OK, ID_LINE, STAMP_LINE, lengthOf(ANSWER_AS_BODY)) + ANSWER_AS_BODY,
                        200,
                        ANSWER_AS_BODY),
                of(
                        "chunk that looks like an answer",
                        "GET",
                        chunkedHead + RelayFixture.chunk(ANSWER_AS_BODY) + "0\r\n\r\n",
                        200,
                        ANSWER_AS_BODY),
                ofHead(
                        "HTTP/1.0 that keeps the connection",
                        head("HTTP/1.0 200 OK", ID_LINE, STAMP_LINE, LENGTH_LINE, "Connection: keep-alive"),
                        ANY_HEADER),
                ofStream("stream", chunkedHead + RelayFixture.chunk(EVENTS) + "0\r\n\r\n"),
                ofStream("stream with a length", head(OK, ID_LINE, STAMP_LINE, lengthOf(EVENTS)) + EVENTS),
                ofStream(
                        "stream after an interim head",
                        "HTTP/1.1 100 Continue\r\n\r\n" + chunkedHead + RelayFixture.chunk(EVENTS) + "0\r\n\r\n"),
                of("HEAD with a length", "HEAD", head(OK, ID_LINE, STAMP_LINE, "Content-Length: 99"), 200, ""));
    }

    private static List<SoundAnswer> ofOtherStatus() {
        return List.of(
                ofFailure("500 Internal Server Error", 500),
                ofFailure("504 Gateway Timeout", 504),
                ofFailure("404 Not Found", 404),
                ofFailure("400 ", 400),
                ofFailure("302 Found", 302),
                ofFailure("599 Odd", 599),
                of(
                        "201",
                        "GET",
                        head("HTTP/1.1 201 Created", ID_LINE, STAMP_LINE, LENGTH_LINE) + PLAIN_BODY,
                        201,
                        PLAIN_BODY),
                of(
                        "304 with the length of its body",
                        "GET",
                        head("HTTP/1.1 304 Not Modified", ID_LINE, STAMP_LINE, "Content-Length: 99"),
                        304,
                        ""));
    }

    /** Returns answers without a body whose framing is plain although they state no length. */
    static List<SoundAnswer> withoutBodyAndLength() {
        return List.of(
                of("204", "GET", head("HTTP/1.1 204 No Content", ID_LINE, STAMP_LINE), 204, ""),
                of("304", "GET", head("HTTP/1.1 304 Not Modified", ID_LINE, STAMP_LINE, "ETag: \"5\""), 304, ""),
                of("HEAD", "HEAD", head(OK, ID_LINE, STAMP_LINE), 200, ""),
                of("HEAD with chunks", "HEAD", head(OK, ID_LINE, STAMP_LINE, CHUNKED_LINE), 200, ""));
    }

    /** Returns answers after which the connection is not used again. */
    static List<SoundAnswer> endingConnection() {
        return List.of(
                of(
                        "Connection: close",
                        "GET",
                        head(OK, ID_LINE, STAMP_LINE, LENGTH_LINE, "Connection: close") + PLAIN_BODY,
                        200,
                        PLAIN_BODY),
                of(
                        "HTTP/1.0",
                        "GET",
                        head("HTTP/1.0 200 OK", ID_LINE, STAMP_LINE, LENGTH_LINE) + PLAIN_BODY,
                        200,
                        PLAIN_BODY),
                of("without framing", "GET", head(OK, ID_LINE, STAMP_LINE) + PLAIN_BODY, 200, PLAIN_BODY),
                of("without framing and without body", "GET", head(OK, ID_LINE, STAMP_LINE), 200, ""),
                ofStream("stream without framing", head(OK, ID_LINE, STAMP_LINE) + EVENTS));
    }

    private static String head(String... lines) {
        return String.join("\r\n", lines) + "\r\n\r\n";
    }

    private static String lengthOf(String body) {
        return "Content-Length: " + body.length();
    }

    private static SoundAnswer ofStatusLine(String name, String statusLine) {
        return ofHead(name, head(statusLine, ID_LINE, STAMP_LINE, LENGTH_LINE), ANY_HEADER);
    }

    private static SoundAnswer ofField(String name, String field, String header) {
        return ofHead(name, head(OK, STAMP_LINE, field, ID_LINE, LENGTH_LINE), header);
    }

    private static SoundAnswer ofHead(String name, String head, String header) {
        return new SoundAnswer(name, "GET", "/once/a", head + PLAIN_BODY, 200, PLAIN_BODY, header);
    }

    private static SoundAnswer ofText(String name, String text) {
        return of(name, "GET", text, 200, PLAIN_BODY);
    }

    private static SoundAnswer ofFailure(String status, int code) {
        String text = head("HTTP/1.1 " + status, ID_LINE, STAMP_LINE, LENGTH_LINE) + PLAIN_BODY;
        return of(status.strip(), "GET", text, code, PLAIN_BODY);
    }

    private static SoundAnswer ofStream(String name, String text) {
        return new SoundAnswer(name, "GET", "/stream/a", text, 200, EVENTS, ANY_HEADER);
    }

    private static SoundAnswer of(String name, String method, String text, int status, String body) {
        return new SoundAnswer(name, method, "/once/a", text, status, body, ANY_HEADER);
    }
}
