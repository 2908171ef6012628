package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class ReplicatedStreamAgeTest {

    private static final long UNKNOWN_AGE_MILLIS = 3_600_000;

    /** Guards against publishing a received snapshot of unknown age as fresh before the platform has answered once. */
    @Test
    void snapshotOfUnknownAgeIsNotPublishedAsFresh() {
        KeyedStream unresponsivePlatform = new KeyedStream() {
            @Override
            public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletionStage<ReadResult> read(long _fromOffset, long _waitMillis) {
                return new CompletableFuture<>();
            }
        };
        ReplicatedStream.Publisher publisher = new ReplicatedStream.Publisher() {
            @Override
            public void publish(StreamUpdate _update, boolean _ownReading) {}

            @Override
            public void requestSnapshot() {}
        };
        ReplicatedStream stream = new ReplicatedStream(
                "s",
                unresponsivePlatform,
                new ReplicaPolicy(1_100, 75, 3, 600, 100, 275),
                new VirtualTimeSource(10_000_000),
                () -> 0,
                publisher,
                record -> record);
        assertTrue(
                !stream.readSnapshotPage(Optional.empty()).toCompletableFuture().isDone());

        stream.onUpdateFromOtherDataCentre(new StreamUpdate("s", true, List.of(), 5, 5, UNKNOWN_AGE_MILLIS));

        long publishedAgeMillis = stream.snapshot().orElseThrow().contactAgeMillis();
        assertTrue(publishedAgeMillis >= UNKNOWN_AGE_MILLIS, "published as " + publishedAgeMillis + " ms old");
    }
}
