package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StreamBeginsTest {

    private static final long LIFETIME_MILLIS = 8_000;
    private static final StreamId STREAM = new StreamId("owner", "reader", "a1");

    private final StreamBegins begins = new StreamBegins(() -> LIFETIME_MILLIS);

    private Optional<StreamBegins.KnownBegin> find(StreamId stream, long nowMillis) {
        return begins.find(stream.owner(), stream.requestId(), nowMillis);
    }

    @Test
    void versionIsKnownAsLongAsStreamMayLive() {
        begins.record(STREAM, "v1", 1_000);

        assertEquals(
                Optional.of(new StreamBegins.KnownBegin("reader", "v1", LIFETIME_MILLIS)),
                find(STREAM, 1_000 + LIFETIME_MILLIS));
        assertEquals(Optional.empty(), find(STREAM, 1_001 + LIFETIME_MILLIS));
    }

    /** Failure: a caller uses an id for two streams, and one of them goes on at the version of the other. */
    @Test
    void idThatBeganAtTwoVersionsSaysNothing() {
        begins.record(STREAM, "v1", 0);
        begins.record(STREAM, "v2", 1);
        begins.record(STREAM, "v2", 2);

        assertEquals(Optional.empty(), find(STREAM, 3));
        assertTrue(begins.isAmbiguous("owner", "a1"));
    }

    /** Failure: a caller uses an id for streams of two services, and one goes on at the service of the other. */
    @Test
    void idThatBeganAtTwoServicesSaysNothing() {
        begins.record(STREAM, "v1", 0);
        begins.record(new StreamId("owner", "other", "a1"), "v1", 1);

        assertEquals(Optional.empty(), find(STREAM, 2));
        assertTrue(begins.isAmbiguous("owner", "a1"));
    }

    /** Failure: an owner's id steers the stream of another owner. */
    @Test
    void idOfAnotherOwnerIsAnotherStream() {
        begins.record(STREAM, "v1", 0);

        assertEquals(Optional.empty(), find(new StreamId("other", "reader", "a1"), 1));
        begins.record(new StreamId("other", "reader", "a1"), "v2", 1);
        assertFalse(begins.isAmbiguous("owner", "a1"));
        assertFalse(begins.isAmbiguous("other", "a1"));
    }

    /** Failure: callers invent ids, and the records of all other streams take the memory. */
    @Test
    void longIdsAndManyStreamsAreBounded() {
        StreamId longId = new StreamId("owner", "reader", "x".repeat(200));
        begins.record(longId, "v1", 0);
        assertEquals(Optional.empty(), find(longId, 0));

        begins.record(STREAM, "v1", 0);
        for (int i = 0; i < 60_000; i++) {
            begins.record(new StreamId("owner", "reader", "b" + i), "v1", 1);
        }
        assertEquals(Optional.empty(), find(STREAM, 2));
        assertTrue(find(new StreamId("owner", "reader", "b59999"), 2).isPresent());
    }

    /** Failure: a route leads to another service now, and the record of the one before is not found. */
    @Test
    void recordNamesTheServiceThatBeganTheStream() {
        begins.record(new StreamId("owner", "before", "a1"), "v1", 0);

        assertEquals(Optional.of(new StreamBegins.KnownBegin("before", "v1", 1)), begins.find("owner", "a1", 1));
        assertEquals(Optional.empty(), begins.find("other", "a1", 1));
    }
}
