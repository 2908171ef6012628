package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class ReplicatedStreamEraTest {

    private static final long EARLIER = LogPosition.of(1, 9);
    private static final long LATER = LogPosition.of(2, 4);

    private final VirtualTimeSource time = new VirtualTimeSource(10_000_000);
    private final List<Long> platformReads = new ArrayList<>();
    private final CompletableFuture<ReadResult> snapshotRead = new CompletableFuture<>();
    private final ReplicatedStream stream = new ReplicatedStream(
            "s",
            new KeyedStream() {
                @Override
                public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
                    return snapshotRead;
                }

                @Override
                public CompletionStage<ReadResult> read(long fromOffset, long _waitMillis) {
                    platformReads.add(fromOffset);
                    return new CompletableFuture<>();
                }
            },
            new ReplicaPolicy(1_100, 75, 3, 600, 100, 275),
            time,
            () -> 1,
            new ReplicatedStream.Publisher() {
                @Override
                public void publish(StreamUpdate _update, boolean _ownReading) {}

                @Override
                public void requestSnapshot() {}
            },
            record -> record);

    private void updateFromPredecessor(long position) {
        stream.onUpdate(new StreamUpdate("s", false, List.of(), position, position, 0), true);
    }

    /** Failure: a peer goes on to tell of the lost history, and this instance waits for it instead of reading. */
    @Test
    void updateOfEarlierEraDoesNotPassForFresh() {
        updateFromPredecessor(LATER);
        time.advanceMillis(1_000);
        updateFromPredecessor(EARLIER);
        time.advanceMillis(600);

        assertEquals(1_600, stream.ageMillis());
        stream.read(LATER, 600);
        assertEquals(List.of(LATER), platformReads);
    }

    @Test
    void freshnessOfEarlierEraEndsWithIt() {
        updateFromPredecessor(EARLIER);
        stream.beginEra(2, "store");

        stream.read(LATER, 600);

        assertEquals(List.of(LATER), platformReads);
    }

    @Test
    void pendingReadOfEarlierEraEndsWithIt() {
        CompletableFuture<ReadResult> pending = stream.read(EARLIER, 600).toCompletableFuture();
        assertFalse(pending.isDone());

        updateFromPredecessor(LATER);

        assertInstanceOf(ReadResult.Expired.class, pending.join());
        assertInstanceOf(
                ReadResult.Expired.class,
                stream.read(EARLIER, 600).toCompletableFuture().join());
    }

    @Test
    void snapshotPageOfEarlierEraIsNotDelivered() {
        CompletableFuture<ReadResult> pending =
                stream.readSnapshotPage(Optional.empty()).toCompletableFuture();
        updateFromPredecessor(LATER);

        snapshotRead.complete(new ReadResult.Page(List.of(), false, EARLIER));

        assertInstanceOf(ReadResult.Unavailable.class, pending.join());
    }
}
