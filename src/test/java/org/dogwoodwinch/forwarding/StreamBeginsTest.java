package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamBeginsTest {

    private static final long LIFETIME_MILLIS = 8_000;
    private static final StreamId STREAM = new StreamId("owner", "reader", "a1");

    private final StreamBegins begins = new StreamBegins(() -> LIFETIME_MILLIS);

    @Test
    void versionIsKnownAsLongAsStreamMayLive() {
        begins.record(STREAM, "v1", 1_000);

        assertEquals(
                Optional.of(new StreamBegins.KnownBegin("v1", LIFETIME_MILLIS)),
                begins.find(STREAM, 1_000 + LIFETIME_MILLIS));
        assertEquals(Optional.empty(), begins.find(STREAM, 1_001 + LIFETIME_MILLIS));
    }

    /** Failure: a caller uses an id for two streams, and one of them goes on at the version of the other. */
    @Test
    void idThatBeganAtTwoVersionsSaysNothing() {
        begins.record(STREAM, "v1", 0);
        begins.record(STREAM, "v2", 1);
        begins.record(STREAM, "v2", 2);

        assertEquals(Optional.empty(), begins.find(STREAM, 3));
        assertEquals(Optional.of("ambiguous"), begins.contradiction(STREAM));
    }

    /** Failure: an owner's id steers the stream of another owner, or of another service. */
    @Test
    void idOfAnotherOwnerOrServiceIsAnotherStream() {
        begins.record(STREAM, "v1", 0);

        assertEquals(Optional.empty(), begins.find(new StreamId("other", "reader", "a1"), 1));
        assertEquals(Optional.empty(), begins.find(new StreamId("owner", "other", "a1"), 1));
        begins.record(new StreamId("other", "reader", "a1"), "v2", 1);
        assertEquals(Optional.empty(), begins.contradiction(STREAM));
    }

    /** Failure: callers invent ids, and the records of all other streams take the memory. */
    @Test
    void longIdsAndManyStreamsAreBounded() {
        StreamId longId = new StreamId("owner", "reader", "x".repeat(200));
        begins.record(longId, "v1", 0);
        assertEquals(Optional.empty(), begins.find(longId, 0));

        begins.record(STREAM, "v1", 0);
        for (int i = 0; i < 60_000; i++) {
            begins.record(new StreamId("owner", "reader", "b" + i), "v1", 1);
        }
        assertEquals(Optional.empty(), begins.find(STREAM, 2));
        assertTrue(begins.find(new StreamId("owner", "reader", "b59999"), 2).isPresent());
    }

    /** Failure: a route leads to another service now, and what is recorded of the one before is not found. */
    @Test
    void streamThatBeganAtAnotherServiceIsNotUnrecorded() {
        begins.record(STREAM, "v1", 0);
        StreamId moved = new StreamId(STREAM.owner(), "another", STREAM.requestId());

        assertEquals(Optional.empty(), begins.find(moved, 1));
        assertEquals(Optional.of("other_service"), begins.contradiction(moved));
        assertEquals(Optional.empty(), begins.contradiction(new StreamId("other", "another", STREAM.requestId())));
    }
}
