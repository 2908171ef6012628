package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JoinedStreamTest {

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";
    private static final int EVENTS_COUNT = 5;
    private static final Pattern DATA = Pattern.compile("data: word(\\d+)\n\n");

    private RelayFixture relay;

    private static String event(int id) {
        return "id: " + id + "\ndata: word" + id + "\n\n";
    }

    private static String events(int... ids) {
        StringBuilder events = new StringBuilder();
        IntStream.of(ids).forEach(id -> events.append(event(id)));
        return events.toString();
    }

    private static String eventsAfter(int lastId) {
        return events(IntStream.rangeClosed(lastId + 1, EVENTS_COUNT).toArray());
    }

    private static String unframedHead(String id) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n\r\n";
    }

    private static List<Integer> receivedIds(String received) {
        List<Integer> ids = new ArrayList<>();
        Matcher data = DATA.matcher(received);
        while (data.find()) {
            ids.add(Integer.parseInt(data.group(1)));
        }
        return ids;
    }

    /** Connects a caller to a fresh relay, since targets that broke a stream off are left out for a while. */
    private RelayFixture.FakeCaller connect(String path) {
        relay = new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
        return relay.connectCaller().send(RelayFixture.getRequest(path, "a1"));
    }

    private void respond(String events, int chunkLength) {
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(RelayFixture.streamResponseHead("a1"));
        for (int from = 0; from < events.length() && target.isOpen(); from += chunkLength) {
            target.respond(RelayFixture.chunk(events.substring(from, Math.min(events.length(), from + chunkLength))));
        }
    }

    private void breakOff(boolean isReset) {
        if (isReset) {
            relay.latestTargetConnection().reset();
        } else {
            relay.latestTargetConnection().close();
        }
    }

    /** Failure: some cut of the first response lets an event be lost or come twice where the second one goes on. */
    @Property(seed = "7221", tries = 300)
    void streamCutAtAnyByteIsWholeOnceTheNextTargetGoesOn(
            @ForAll @IntRange(min = 0, max = 110) int cutAt,
            @ForAll @IntRange(min = 1, max = 40) int chunkLength,
            @ForAll boolean isReset) {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        String stream = eventsAfter(0);
        String cut = stream.substring(0, Math.min(cutAt, stream.length()));
        respond(cut, chunkLength);
        breakOff(isReset);
        int lastId = receivedIds(cut).size();

        assertEquals(lastId > 0, relay.latestTargetConnection().takeReceived().contains("last-event-id: " + lastId));
        respond(eventsAfter(lastId), chunkLength);
        relay.latestTargetConnection().respond(LAST_CHUNK);

        String received = caller.takeReceived();
        assertEquals(List.of(1, 2, 3, 4, 5), receivedIds(received));
        assertTrue(received.endsWith(LAST_CHUNK), received);
    }

    /** Failure: whatever two targets write, the caller gets an event twice or after a later one. */
    @Property(seed = "7222", tries = 500)
    void idsThatCallerReceivesIncreaseWhateverTargetsWrite(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 8) Integer> first,
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 8) Integer> second,
            @ForAll @IntRange(min = 1, max = 60) int chunkLength,
            @ForAll boolean isReset) {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        respond(events(first.stream().mapToInt(id -> id).toArray()), chunkLength);
        if (relay.targetConnections.size() == 1) {
            breakOff(isReset);
        }
        respond(events(second.stream().mapToInt(id -> id).toArray()), chunkLength);

        List<Integer> ids = receivedIds(caller.takeReceived());
        assertEquals(ids.stream().sorted().distinct().toList(), ids);
    }

    /** Failure: a target repeats events after the first one of its response, and they are passed on again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void streamGoesOnElsewhereAfterTheLastEventThatWasNotRepeated(int chunkLength) {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        respond(events(1, 2, 1, 2, 3), chunkLength);

        assertFalse(first.isOpen());
        assertTrue(relay.latestTargetConnection().takeReceived().contains("last-event-id: 2"));
        respond(eventsAfter(2), chunkLength);
        relay.latestTargetConnection().respond(LAST_CHUNK);

        String received = caller.takeReceived();
        assertEquals(List.of(1, 2, 3, 4, 5), receivedIds(received));
        assertTrue(received.endsWith(LAST_CHUNK), received);
    }

    /** Failure: a stream that no other target may go on with is completed although events of it came twice. */
    @Test
    void streamThatMayNotGoOnIsBrokenOffWhereItsIdsGoBack() {
        RelayFixture.FakeCaller caller = connect("/stream/a");
        respond(events(1, 2, 3, 2), 1_000);

        String received = caller.takeReceived();
        assertEquals(List.of(1, 2, 3), receivedIds(received));
        assertFalse(received.endsWith(LAST_CHUNK), received);
        assertTrue(caller.isClosed());
        assertEquals(1, relay.targetConnections.size());
        assertEquals(0, relay.service.openCallsCount());
    }

    /** Failure: ids that increase by more than one, as those of events of several tokens may, break a stream off. */
    @Test
    void idsThatSkipNumbersArePassedOn() {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        respond(events(1, 4), 1_000);
        breakOff(true);
        respond(events(6, 9) + "id: end\ndata: word10\n\n", 1_000);
        relay.latestTargetConnection().respond(LAST_CHUNK);

        String received = caller.takeReceived();
        assertEquals(List.of(1, 4, 6, 9, 10), receivedIds(received));
        assertTrue(received.endsWith(LAST_CHUNK), received);
    }

    /** Failure: a caller that received less than was written to it gets the stream after the last event written. */
    @Test
    void streamGoesOnAfterTheEventThatItsCallerNames() {
        RelayFixture.FakeCaller first = connect("/resume/a");
        respond(events(1, 2, 3), 1_000);
        first.disconnect();

        RelayFixture.FakeCaller second = relay.connectCaller()
                .send(RelayFixture.postRequest("/resume/a", "a2", "Resumes: a1\r\nLast-Event-Id: 1\r\n", "x"));
        assertTrue(relay.latestTargetConnection().takeReceived().contains("last-event-id: 1"));
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("a2") + RelayFixture.chunk(eventsAfter(1)) + LAST_CHUNK);

        String received = second.takeReceived();
        assertEquals(List.of(2, 3, 4, 5), receivedIds(received));
        assertTrue(received.endsWith(LAST_CHUNK), received);
    }

    /** Failure: a byte order mark inside a joined stream hides the id of the event after it from the caller. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 1_000})
    void byteOrderMarkOfResponseThatGoesOnIsNotPassedOn(int chunkLength) {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        respond(BYTE_ORDER_MARK + events(1), chunkLength);
        breakOff(true);
        respond(BYTE_ORDER_MARK + eventsAfter(1), chunkLength);
        relay.latestTargetConnection().respond(LAST_CHUNK);

        String received = caller.takeReceived();
        assertEquals(List.of(1, 2, 3, 4, 5), receivedIds(received));
        assertEquals(2, received.split(BYTE_ORDER_MARK, -1).length, received);
    }

    /** Failure: another answer on the connection of a stream without framing is passed on as a part of it. */
    @ParameterizedTest
    @ValueSource(strings = {"a1", "z9"})
    void streamIsBrokenOffWhereAnotherAnswerFollowsOnItsConnection(String answeredId) {
        for (int chunkLength : new int[] {1, 30, 1_000}) {
            RelayFixture.FakeCaller caller = connect("/stream/a");
            String bytes = unframedHead("a1") + events(1, 2) + unframedHead(answeredId) + events(3, 4);
            RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
            for (int from = 0; from < bytes.length() && target.isOpen(); from += chunkLength) {
                target.respond(bytes.substring(from, Math.min(bytes.length(), from + chunkLength)));
            }
            target.close();

            String received = caller.takeReceived();
            assertEquals(List.of(1, 2), receivedIds(received));
            assertEquals(1, received.split("HTTP/1.1 200", -1).length - 1, received);
            assertFalse(received.endsWith(LAST_CHUNK), received);
            assertTrue(caller.isClosed());
        }
    }

    /** Failure: what a run still writes after it was aborted reaches the caller beside the run that goes on. */
    @Test
    void lateBytesOfAbortedRunDoNotReachCaller() {
        RelayFixture.FakeCaller caller = connect("/resume/a");
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        first.respond(RelayFixture.streamResponseHead("a1")
                + RelayFixture.chunk(events(1, 1))
                + RelayFixture.chunk(events(2) + "data: word9\n\n")
                + LAST_CHUNK
                + RelayFixture.streamResponseHead("a1")
                + RelayFixture.chunk(events(8))
                + LAST_CHUNK);
        assertFalse(first.isOpen());
        respond(eventsAfter(1), 1_000);
        relay.latestTargetConnection().respond(LAST_CHUNK);

        String received = caller.takeReceived();
        assertEquals(2, relay.targetConnections.size());
        assertEquals(List.of(1, 2, 3, 4, 5), receivedIds(received));
        assertTrue(received.endsWith(LAST_CHUNK), received);
    }
}
