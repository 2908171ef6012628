package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallRelayTest {

    private final RelayFixture relay =
            new RelayFixture().configured().plain("t1").plain("t2");

    @Test
    void aSuccessIsHandedOnUnchangedAndItsConnectionKept() {
        RelayFixture.CallerEnd caller =
                relay.caller().send(RelayFixture.post("/once/a?q=1", "a1", "X: y\r\n", "hello"));
        String sent = relay.target().received();
        assertTrue(sent.startsWith("POST /once/a?q=1 HTTP/1.1\r\n"), sent);
        assertTrue(sent.contains("X: y\r\n") && sent.endsWith("\r\n\r\nhello"), sent);
        assertTrue(sent.contains("expect-instance: " + relay.target().id()), sent);
        assertTrue(sent.contains("deadline-ms: 800"), sent);

        relay.target().answer(RelayFixture.success("a1", "one"));
        String answer = caller.received();
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("one"), answer);
        assertTrue(answer.contains("Server-Stamp: s-a1"), answer);

        assertTrue(relay.target().open());
    }

    /** What only this system may set reaches into other requests' memory: a caller's is dropped, however it is spelt. */
    @Test
    void aCallersOwnControlHeadersAreDropped() {
        relay.caller()
                .send(RelayFixture.post(
                        "/once/a",
                        "a1",
                        String.join(
                                "\r\n",
                                "KV-FROM: 10.0.0.9:80/x",
                                "kv-hold: h",
                                "Pin-Ms: 1",
                                "Kv-Backup: b",
                                "Kv-Fetch: c",
                                "Stage: prefill",
                                "Request-Priority: 0",
                                "Expect-Instance: other",
                                "Expect-Version: 3",
                                "Connection: X-Secret, Request-Id",
                                "X-Secret: s",
                                "Keep-Alive: timeout=9",
                                "TE: trailers",
                                "Upgrade: h2c",
                                ""),
                        "hello"));

        String sent = relay.target().received().toLowerCase(Locale.ROOT);
        for (String name : List.of(
                "kv-from",
                "kv-hold",
                "pin-ms",
                "kv-backup",
                "kv-fetch",
                "stage:",
                "request-priority",
                "expect-version",
                "x-secret",
                "keep-alive",
                "te:",
                "upgrade",
                "connection")) {
            assertFalse(sent.contains("\r\n" + name), name + " in " + sent);
        }
        assertTrue(sent.contains("request-id: a1"), sent);
        assertTrue(sent.contains("expect-instance: " + relay.target().id()), sent);
    }

    /**
     * A target gives a second answer to an earlier call just where the next one is due. It bears the earlier call's id:
     * it is passed over, and the caller gets the answer to its own call.
     */
    @Test
    void anotherCallsAnswerIsPassedOver() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        relay.target().answer(RelayFixture.success("zz", "stranger"));
        assertEquals("", caller.received());
        relay.target().answer(RelayFixture.success("a1", "own"));

        String answer = caller.received();
        assertTrue(answer.endsWith("own") && !answer.contains("stranger"), answer);
    }

    /** Bytes that follow a whole answer belong to nobody: the connection is closed, and the next call opens another. */
    @Test
    void bytesAfterAnAnswerCloseTheConnection() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        RelayFixture.TargetEnd first = relay.target();

        first.answer(RelayFixture.success("a1", "one") + RelayFixture.success("a1", "again"));

        assertTrue(caller.received().endsWith("one"));
        assertFalse(first.open());
    }

    @Test
    void bytesOnAnIdleConnectionCloseIt() {
        relay.caller().send(RelayFixture.get("/once/a", "a1"));
        RelayFixture.TargetEnd first = relay.target();
        first.answer(RelayFixture.success("a1", "one"));
        assertTrue(first.open());

        first.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

        assertFalse(first.open());
    }

    /** The call ran or may have run, and no answer that counts came: a call that runs once gets 502 and runs no more. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 Many\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 408 Late\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "no answer at all\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: zz\r\nServer-Stamp: s\r\n\r\nunframed",
            })
    void whatProvesNothingIsNoSuccessAndNoPromise(String raw) {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        relay.target().answer(raw);

        String answer = caller.received();
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
        assertFalse(answer.contains("Server-Stamp"), answer);
        assertEquals(1, relay.opened.size());
    }

    /**
     * The target ends its answer before the length is met. A caller of a plain call sees 502, as the whole answer was
     * held until it was whole; one of a call that may be repeated sees the second target's answer.
     */
    @Test
    void aCutAnswerNeverLooksWhole() {
        RelayFixture.CallerEnd once = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.target().answer("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
        relay.target().close();
        assertTrue(once.received().startsWith("HTTP/1.1 502 "));

        RelayFixture.CallerEnd safe = relay.caller().send(RelayFixture.get("/safe/b", "b2"));
        String firstId = relay.target().id();
        relay.target().answer("HTTP/1.1 200 OK\r\nRequest-Id: b2\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
        relay.target().close();
        assertFalse(firstId.equals(relay.target().id()));
        relay.target().answer(RelayFixture.success("b2", "whole"));
        assertTrue(safe.received().endsWith("whole"));
    }

    /** An answer without a length ends with its connection: whole after an orderly close, cut after a reset. */
    @Test
    void anAnswerWithoutLengthIsWholeOnlyAfterAnOrderlyClose() {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\n\r\n";
        RelayFixture.CallerEnd closed = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.target().answer(head + "all of it");
        relay.target().close();
        assertTrue(closed.received().endsWith("all of it"));

        RelayFixture.CallerEnd reset = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.target().answer(head + "all of it");
        relay.target().reset();
        assertTrue(reset.received().startsWith("HTTP/1.1 502 "));
    }

    /** A stream of which bytes went on is cut: its caller sees the connection end without the last chunk. */
    @Test
    void aCutStreamIsBrokenOffVisibly() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/stream/a", "a1"));
        relay.target().answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        assertTrue(caller.received().contains("data: x"));

        relay.target().close();

        assertFalse(caller.received().contains("0\r\n\r\n"));
        assertTrue(caller.closedAtOnce());
        assertEquals(1, relay.opened.size());
    }

    /**
     * A stream that may be resumed is cut in the middle of an event. The caller has got whole events only; another target
     * goes on after the last of them, and the caller sees one answer with every event once and the first one's head.
     */
    @Test
    void aResumableStreamGoesOnAtAnotherTargetAfterTheLastWholeEvent() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/resume/a", "a1"));
        RelayFixture.TargetEnd first = relay.target();
        first.answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\nid: 2\nda"));
        first.close();

        RelayFixture.TargetEnd second = relay.target();
        assertFalse(first.id().equals(second.id()));
        String resumed = second.received();
        assertTrue(resumed.contains("last-event-id: 1"), resumed);
        second.answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n");

        String answer = caller.received();
        assertEquals(1, answer.split("HTTP/1.1 200", -1).length - 1, answer);
        assertTrue(answer.contains("id: 1\ndata: x\n\n") && answer.contains("id: 2\ndata: y\n\n"), answer);
        assertEquals(1, answer.split("id: 2", -1).length - 1, answer);
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
    }

    /** The target states that it did not run the call: it goes to another one, and the caller notices nothing. */
    @Test
    void aRejectedCallGoesToAnotherTarget() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        String first = relay.target().id();
        relay.target().answer("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        assertFalse(first.equals(relay.target().id()));
        relay.target().answer(RelayFixture.success("a1", "ran"));

        assertTrue(caller.received().endsWith("ran"));
    }

    /** Another target has the address now. It said so and did not run the call, so the caller may be told. */
    @Test
    void anAddressThatIsAnotherTargetsNowRunsNothing() {
        RelayFixture one = new RelayFixture().configured().plain("t1");
        RelayFixture.CallerEnd caller = one.caller().send(RelayFixture.get("/once/a", "a1"));

        one.target().answer("HTTP/1.1 421 Misdirected\r\nInstance-Id: t9\r\nContent-Length: 0\r\n\r\n");

        String answer = caller.received();
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("retry-after: 0."), answer);
    }

    /** All repeats of the window are spent: a rejected call is refused with when to come back, not sent again. */
    @Test
    void withoutBudgetARejectedCallIsRefused() {
        RelayFixture poor = new RelayFixture(0).configured().plain("t1").plain("t2");
        RelayFixture.CallerEnd caller = poor.caller().send(RelayFixture.get("/safe/a", "a1"));

        poor.target().answer("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        String answer = caller.received();
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("retry-after: 0.2"), answer);
        assertEquals(1, poor.opened.size());
    }

    /** A target's own failure counts as run: a call that runs once gets it unchanged, one that may repeat a second try. */
    @Test
    void aTargetsOwnFailureIsHandedOnOrTriedElsewhere() {
        String failure = "HTTP/1.1 500 Oops\r\nRequest-Id: a1\r\nServer-Stamp: s-f\r\nContent-Length: 3\r\n\r\nbad";
        RelayFixture.CallerEnd once = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.target().answer(failure);
        String answer = once.received();
        assertTrue(answer.startsWith("HTTP/1.1 500 ") && answer.contains("Server-Stamp: s-f"), answer);
        assertTrue(answer.endsWith("bad"), answer);

        RelayFixture fresh = new RelayFixture().configured().plain("t1").plain("t2");
        RelayFixture.CallerEnd safe = fresh.caller().send(RelayFixture.get("/safe/a", "a1"));
        fresh.target().answer(failure);
        fresh.target().answer(RelayFixture.success("a1", "good"));
        assertTrue(safe.received().endsWith("good"));
    }

    /** No connection can be had: nothing ran, so the caller is told to come back, and how often is bounded. */
    @Test
    void withoutAConnectionTheCallIsRefusedAsNotRun() {
        relay.unreachable.add("t1");
        relay.unreachable.add("t2");

        String answer = relay.caller().send(RelayFixture.get("/once/a", "a1")).received();

        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("retry-after: 0.2"), answer);
        assertEquals(0, relay.service.openCount());
    }

    /** The route's time is over before an answer: the caller has its final answer at that moment, and it promises nothing. */
    @Test
    void atTheRoutesTimeTheCallerHasItsFinalAnswer() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.time.advanceMillis(RelayFixture.TIMEOUT_MILLIS - 1);
        assertEquals("", caller.received());

        relay.time.advanceMillis(1);

        assertTrue(caller.received().startsWith("HTTP/1.1 504 "));
        assertFalse(relay.target().open());
    }

    /** The second send of a call has only the time that the first one left. */
    @Test
    void eachSendCarriesWhatIsLeftOfTheCallersTime() {
        relay.caller().send(RelayFixture.post("/safe/a", "a1", "Deadline-Ms: 500\r\n", "x"));
        assertTrue(relay.target().received().contains("deadline-ms: 500"));
        relay.time.advanceMillis(300);

        relay.target().close();
        // What is put off until the sockets were looked at.
        relay.time.advanceMillis(0);

        assertTrue(relay.target().received().contains("deadline-ms: 200"));
    }

    /**
     * A busy instance comes to a target's rejection late, and the caller's leaving lies unread beside it. The sockets are
     * read in any order: the call must not go on to the next target before the leaving was read.
     */
    @Test
    void aCallWhoseCallerLeftMeanwhileIsNotSentOn() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.time.advanceMillis(150);
        relay.target().answer("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        caller.leave();
        relay.time.advanceMillis(10);

        assertEquals("", relay.target().received());
    }

    /**
     * A target closes its idle connections after five seconds. A call that is sent as it closes may or may not have run,
     * so a connection that is idle for nearly as long is not used any more.
     */
    @Test
    void aConnectionNearTheEndOfItsIdleTimeIsNotUsed() {
        RelayFixture one = new RelayFixture().configured().plain("t1");
        RelayFixture.CallerEnd caller = one.caller().send(RelayFixture.get("/once/a", "a1"));
        one.target()
                .answer(String.join(
                        "\r\n",
                        "HTTP/1.1 200 OK",
                        "Request-Id: a1",
                        "Server-Stamp: s",
                        "Keep-Alive: timeout=5",
                        "Content-Length: 0",
                        "",
                        ""));
        one.time.advanceMillis(4_100);

        caller.send(RelayFixture.get("/once/b", "b2"));

        assertEquals(2, one.opened.size());
        assertFalse(one.opened.get(0).open());
    }

    /** A target leaves: what runs there ends in order, and nothing new goes there. */
    @Test
    void aLeavingTargetGetsNothingNewAndFinishesWhatItHas() {
        RelayFixture one = new RelayFixture().configured().plain("t1");
        RelayFixture.CallerEnd first = one.caller().send(RelayFixture.get("/once/a", "a1"));
        one.listed(new Incarnation("t1", "desk", "10.0.0.1", 80, "dc-1", 6, true, Stage.WHOLE, 0));
        one.service.forgetTarget("t1");

        String refused = one.caller().send(RelayFixture.get("/once/b", "b2")).received();
        one.target().answer(RelayFixture.success("a1", "finished"));

        assertTrue(refused.startsWith("HTTP/1.1 503 "), refused);
        assertTrue(first.received().endsWith("finished"));
    }

    /**
     * The target takes 96 connections and 48 instances share it: each may open two. The third call of one instance has not
     * run and is told to come back. Opened all the same, some connection would be reset with a call on it.
     */
    @Test
    void connectionsAreDealtOutAmongTheInstancesSeen() {
        RelayFixture shared = new RelayFixture().configured().plain("t1");
        shared.sharersCount = 48;
        shared.caller().send(RelayFixture.get("/once/a", "a1"));
        shared.caller().send(RelayFixture.get("/once/a", "a2"));

        RelayFixture.CallerEnd third = shared.caller().send(RelayFixture.get("/once/a", "a3"));

        assertEquals(2, shared.opened.size());
        assertTrue(third.received().startsWith("HTTP/1.1 503 "));
    }
}
