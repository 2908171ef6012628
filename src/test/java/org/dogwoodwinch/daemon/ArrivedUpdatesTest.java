package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.follow.ReplicatedStream;
import org.dogwoodwinch.follow.StreamFollower;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.follow.StreamUpdate;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An update of another instance arrives while this one does not read the store. */
class ArrivedUpdatesTest {

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final StorePolling polling =
            new StorePolling(DaemonSockets.createSettings("front-1", "127.0.0.1:9", "\"promises\":{}"));
    private final List<String> applied = new ArrayList<>();
    private CompletableFuture<ReadResult> pendingRead = new CompletableFuture<>();
    private final ReplicatedStream stream = new ReplicatedStream(
            "s", new PendingPlatform(), polling.targetsReplica(), time, () -> 0, new NoPublisher(), record -> record);

    @BeforeEach
    void followStream() {
        new StreamFollower(
                        stream, polling.follower(), new AppliedKeys(), time, RandomSource.XO_RO_SHI_RO_128_PP.create(1))
                .start();
        pendingRead.complete(new ReadResult.Page(List.of(), false, 3));
    }

    /** Guards against records that wait for the pause between two reads although they have arrived. */
    @Test
    void updateDuringPauseIsAppliedAtOnce() {
        pendingRead.complete(new ReadResult.Batch(List.of(record("a", 3)), 4));
        time.advanceMillis(10);
        stream.onUpdate(new StreamUpdate("s", false, List.of(record("b", 4)), 4, 5, 0), true);

        assertEquals(List.of("a", "b"), applied);
    }

    /** Guards against records that wait for the back-off of an instance that the store turns away. */
    @Test
    void updateDuringBackOffIsAppliedAtOnce() {
        for (int failuresCount = 0; failuresCount < 6; time.advanceMillis(1)) {
            if (pendingRead.complete(new ReadResult.Unavailable("status 429"))) {
                failuresCount++;
            }
        }
        stream.onUpdate(new StreamUpdate("s", false, List.of(record("a", 3)), 3, 4, 0), false);

        assertEquals(List.of("a"), applied);
    }

    /** Guards against an answer that was cut at its size and passes for the end of the stream. */
    @Test
    void cutAnswerIsFollowedByNextReadAtOnce() {
        pendingRead.complete(new ReadResult.Batch(List.of(record("a", 3)), 4));
        time.advanceMillis(300);
        pendingRead.complete(new ReadResult.Batch(List.of(record("b", 4)), 5, 7));
        time.advanceMillis(20);
        assertEquals(320, stream.deliveredAgeMillis(), "known up to the first answer");

        pendingRead.complete(new ReadResult.Batch(List.of(record("c", 5), record("d", 6)), 7));

        assertEquals(List.of("a", "b", "c", "d"), applied);
        assertEquals(20, stream.deliveredAgeMillis());
    }

    private static KeyedRecord record(String key, long offset) {
        return new KeyedRecord(key, offset, Optional.of(Bytes.ofUtf8("v")));
    }

    /** A platform whose calls the test answers. */
    private final class PendingPlatform implements KeyedStream {
        @Override
        public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
            pendingRead = new CompletableFuture<>();
            return pendingRead;
        }

        @Override
        public CompletionStage<ReadResult> read(long _fromOffset, long _waitMillis) {
            pendingRead = new CompletableFuture<>();
            return pendingRead;
        }
    }

    private static final class NoPublisher implements ReplicatedStream.Publisher {
        @Override
        public void publish(StreamUpdate _update, boolean _ownReading) {}

        @Override
        public void requestSnapshot() {}
    }

    private final class AppliedKeys implements StreamListener {
        @Override
        public void onRecord(KeyedRecord record) {
            applied.add(record.key());
        }

        @Override
        public void onSnapshotComplete(Set<String> _keys, long _endOffset) {}

        @Override
        public void onReconnected() {}

        @Override
        public void onDisconnected(String _reason) {}
    }
}
