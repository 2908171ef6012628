package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

class HeadVerdictTest {

    private static final HeadVerdict OWN = new HeadVerdict.Own();
    private static final HeadVerdict JOINED = new HeadVerdict.Unproved(HeadVerdict.INNER_STATUS_LINE);

    private static HeadVerdict judge(boolean firstCall, String reasonPhrase, String... fields) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, new HttpResponseStatus(200, reasonPhrase));
        for (int i = 0; i < fields.length; i += 2) {
            head.headers().add(fields[i], fields[i + 1]);
        }
        return HeadVerdict.ofTarget(200, ResponseIdentity.of(head, "request-id", "server-stamp"), "a2", firstCall);
    }

    @Test
    void headWithIdOfTheCallIsItsOwn() {
        assertEquals(OWN, judge(false, "OK", "Request-Id", "a2"));
        assertEquals(OWN, judge(false, "OK", "Date", "x", "REQUEST-ID", "a2", "Request-Id", "a2"));
    }

    @Test
    void headWithIdOfAnotherCallBelongsToThatCall() {
        assertEquals(new HeadVerdict.OfOtherCall("a1"), judge(false, "OK", "Request-Id", "a1"));
        assertEquals(new HeadVerdict.OfOtherCall("a1"), judge(true, "OK", "Request-Id", "a1"));
    }

    /** Failure: the status of a late second answer is passed on with the id and body of the call's own answer. */
    @Test
    void headThatWasJoinedOfTwoIsNotTheCallsOwn() {
        assertEquals(JOINED, judge(false, "OHTTP/1.1 500 Internal Server Error", "Request-Id", "a2"));
        assertEquals(JOINED, judge(false, "OHTTP/1.1 500", "Request-Id", "a2"));
        assertEquals(JOINED, judge(false, "OK", "Date", "xHTTP/1.0 504 Gateway Timeout", "Request-Id", "a2"));
        assertEquals(JOINED, judge(false, "OK", "Request-Id", "a1", "Date", "HTTP/1.1 500 x"));
        assertEquals(JOINED, judge(false, "Ohttp/1.1  0500 x", "Request-Id", "a2"));
    }

    /** Failure: a call's own answer that was cut off and a second one to the same call are read as a success. */
    @Test
    void headThatWasJoinedOfTwoAnswersToTheCallIsRefusedOnEachCall() {
        for (boolean firstCall : new boolean[] {true, false}) {
            assertEquals(JOINED, judge(firstCall, "OHTTP/1.1 500 Internal Server Error", "Request-Id", "a2"));
            assertEquals(
                    JOINED, judge(firstCall, "OK", "Date", "xHTTP/1.1 503 Busy", "Not-Run", "1", "Request-Id", "a2"));
            assertEquals(
                    JOINED, judge(firstCall, "OK", "Request-Id", "a2", "Date", "xHTTP/1.1 500 No", "Request-Id", "a2"));
        }
        assertEquals(JOINED, judge(true, "OK", "Date", "xHTTP/1.1 503 Busy", "Not-Run", "1"));
        assertEquals(
                JOINED,
                judge(
                        false,
                        "OK",
                        "Request-Id",
                        "a2",
                        "Server-Stamp",
                        "s1",
                        "D",
                        "xHTTP/1.1 500 No",
                        "Server-Stamp",
                        "s2"));
    }

    @Test
    void headWithDifferentIdsBelongsToNoCall() {
        HeadVerdict several = new HeadVerdict.Unproved(HeadVerdict.SEVERAL_IDS);
        assertEquals(several, judge(false, "OK", "Request-Id", "a1", "Request-Id", "a2"));
        assertEquals(several, judge(true, "OK", "Request-Id", "a2", "Request-Id", "a1"));
    }

    @Test
    void headWithoutIdIsBelievedOnlyOnTheFirstCallOfItsConnection() {
        assertEquals(OWN, judge(true, "Service Unavailable", "Not-Run", "1"));
        assertEquals(
                new HeadVerdict.Unproved(HeadVerdict.WITHOUT_ID), judge(false, "Service Unavailable", "Not-Run", "1"));
    }

    /** Failure: sound heads that speak of the protocol are refused. */
    @Test
    void textOfTheProtocolAloneDoesNotMakeAHeadAmbiguous() {
        assertEquals(OWN, judge(false, "HTTP/1.1", "Request-Id", "a2"));
        assertEquals(OWN, judge(false, "see HTTP/1.1 RFC 9112", "Via", "HTTP/1.1 proxy", "Request-Id", "a2"));
        assertEquals(OWN, judge(false, "OK", "Request-Id", "a2", "Note", "HTTP/1.1 500 Internal Server Error"));
        assertEquals(OWN, judge(true, "OK", "Upstream", "HTTP/1.1 200 OK", "Request-Id", "a2"));
    }
}
