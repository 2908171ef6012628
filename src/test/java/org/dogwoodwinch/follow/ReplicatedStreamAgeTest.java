package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class ReplicatedStreamAgeTest {

    private static final long UNPROVED_MILLIS = 3_600_000;

    /** Guards against publishing a received snapshot of unknown age as fresh before the platform has answered once. */
    @Test
    void whatHasNoProvedAgeIsNotToldAsFresh() {
        KeyedStream silent = new KeyedStream() {
            @Override
            public CompletionStage<ReadResult> newest(Optional<String> _afterKey) {
                return new CompletableFuture<>();
            }

            @Override
            public CompletionStage<ReadResult> read(long _fromOffset, long _waitMillis) {
                return new CompletableFuture<>();
            }
        };
        ReplicatedStream.Publisher relay = new ReplicatedStream.Publisher() {
            @Override
            public void tell(StreamUpdate _word, boolean _ownReading) {}

            @Override
            public void want() {}
        };
        ReplicatedStream stream = new ReplicatedStream(
                "s",
                silent,
                new ReplicaPolicy(1_100, 75, 3),
                new VirtualTimeSource(10_000_000),
                () -> 0,
                relay,
                record -> record);
        assertTrue(!stream.newest(Optional.empty()).toCompletableFuture().isDone());

        stream.heardAbroad(new StreamUpdate("s", true, List.of(), 5, 5, UNPROVED_MILLIS));

        long toldMillis = stream.whole().orElseThrow().contactAgeMillis();
        assertTrue(toldMillis >= UNPROVED_MILLIS, "told as " + toldMillis + " ms old");
    }
}
