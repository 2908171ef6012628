package org.dogwoodwinch.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * A second answer to an earlier call, which a target sends late, where it has to answer the next call.
 *
 * @param name names it in messages
 * @param head the head with the empty line at its end
 * @param body the body with its framing
 * @param idStated whether the head states the id of the earlier call
 * @param notRunStated whether the head states that a call did not run
 * @param endStated whether the bytes show where it ends
 * @param interim whether it is an interim head, which belongs to no call in particular
 */
record LateAnswer(
        String name,
        String head,
        String body,
        boolean idStated,
        boolean notRunStated,
        boolean endStated,
        boolean interim) {

    private static final String EARLIER_ID = "Request-Id: " + LateAnswerPlay.EARLIER_ID + "\r\n";
    private static final String STAMP = "Server-Stamp: s-late\r\n";
    private static final String LONG_BODY = "late body, ".repeat(11);

    private enum IdPlace {
        FIRST,
        LAST,
        NONE
    }

    /** Returns the bytes of this answer to a request of a method. */
    String text(String method) {
        return method.equals("HEAD") ? head : head + body;
    }

    /** Returns all kinds of answers, each with the earlier call's id as first and as last field and without an id. */
    static List<LateAnswer> all() {
        List<LateAnswer> answers = new ArrayList<>();
        for (IdPlace place : IdPlace.values()) {
            answers.add(of(place, "200 with a length", "200 OK", "Content-Length: 4\r\n", "late", true));
            answers.add(of(place, "200 with a long body", "200 OK", lengthOf(LONG_BODY), LONG_BODY, true));
            answers.add(of(
                    place,
                    "200 chunked",
                    "200 OK",
                    "Transfer-Encoding: chunked\r\n",
                    "4;note=\"late\"\r\nlate\r\n1\r\n!\r\n0\r\nX-Sum: 12\r\nX-End: y\r\n\r\n",
                    true));
            answers.add(of(place, "200 without framing", "200 OK", "", "late", false));
            answers.add(of(place, "204", "204 No Content", "", "", true));
            answers.add(of(place, "304", "304 Not Modified", "ETag: \"5\"\r\n", "", true));
            answers.add(of(place, "500", "500 Internal Server Error", "Content-Length: 6\r\n", "failed", true));
            answers.add(of(place, "503", "503 Busy", "Not-Run: 1\r\nContent-Length: 0\r\n", "", true));
        }
        answers.add(interim("100", "HTTP/1.1 100 Continue\r\n\r\n"));
        answers.add(interim("103", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nX-Late: y\r\n\r\n"));
        return answers;
    }

    private static String lengthOf(String body) {
        return "Content-Length: " + body.length() + "\r\n";
    }

    private static LateAnswer of(
            IdPlace place, String name, String status, String fields, String body, boolean endStated) {
        String head = "HTTP/1.1 " + status + "\r\n"
                + (place == IdPlace.FIRST ? EARLIER_ID : "")
                + "X-Late: y\r\n"
                + STAMP
                + fields
                + (place == IdPlace.LAST ? EARLIER_ID : "")
                + "\r\n";
        return new LateAnswer(
                name + ", id " + place,
                head,
                body,
                place != IdPlace.NONE,
                fields.contains("Not-Run"),
                endStated,
                false);
    }

    private static LateAnswer interim(String name, String head) {
        return new LateAnswer(name, head, "", false, false, true, true);
    }
}
