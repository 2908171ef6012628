package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class StreamFollowerTest {

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final Deque<CompletableFuture<ReadResult>> pendingReads = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final StreamFollower follower = new StreamFollower(
            new KeyedStream() {
                @Override
                public CompletionStage<ReadResult> readSnapshotPage(Optional<String> afterKey) {
                    return startRead("newest " + afterKey.orElse(""));
                }

                @Override
                public CompletionStage<ReadResult> read(long fromOffset, long _waitMillis) {
                    return startRead("read " + fromOffset);
                }
            },
            new FollowerPolicy(1_000, 100, 50, 400),
            new Listener(),
            time,
            RandomSource.XO_RO_SHI_RO_128_PP.create(3));

    private CompletionStage<ReadResult> startRead(String call) {
        calls.add(call);
        CompletableFuture<ReadResult> reply = new CompletableFuture<>();
        pendingReads.add(reply);
        return reply;
    }

    private void reply(ReadResult result) {
        pendingReads.remove().complete(result);
    }

    private static KeyedRecord record(String key, long offset) {
        return new KeyedRecord(key, offset, Optional.of(Bytes.ofUtf8("v")));
    }

    /** Guards against losing a record that is written between two pages of a snapshot read. */
    @Test
    void changeBetweenPagesIsReadAsRecord() {
        follower.start();
        reply(new ReadResult.Page(List.of(record("a", 3)), true, 5));
        reply(new ReadResult.Page(List.of(record("b", 4)), false, 7));

        assertEquals(List.of("newest ", "newest a", "read 5"), calls);
        assertEquals(List.of("a@3", "b@4", "snapshot [a, b] to 5"), events);
    }

    /** Guards against a snapshot of which one page is from before and one from after a copy of the store. */
    @Test
    void snapshotBeginsAnewIfStoreComesBackBetweenPages() {
        follower.start();
        reply(new ReadResult.Page(List.of(record("a", 3)), true, 5));
        reply(new ReadResult.Page(List.of(record("b", LogPosition.of(1, 1))), false, LogPosition.of(1, 2)));
        reply(new ReadResult.Page(List.of(record("b", LogPosition.of(1, 1))), false, LogPosition.of(1, 2)));

        assertEquals(List.of("newest ", "newest a", "newest ", "read " + LogPosition.of(1, 2)), calls);
        assertEquals(
                List.of("a@3", "came back", "b@" + LogPosition.of(1, 1), "snapshot [b] to " + LogPosition.of(1, 2)),
                events);
    }

    @Test
    void readsNextBatchAfterPause() {
        follower.start();
        reply(new ReadResult.Page(List.of(), false, 2));
        reply(new ReadResult.Batch(List.of(record("a", 2), record("a", 3)), 4));
        assertEquals("read 2", calls.get(calls.size() - 1));

        time.advanceMillis(100);

        assertEquals("read 4", calls.get(calls.size() - 1));
        assertEquals(List.of("snapshot [] to 2", "a@2", "a@3"), events);
    }

    /** Guards against treating keys as deleted after records expired and before a new snapshot is complete. */
    @Test
    void expiredRecordsLeadToNewSnapshot() {
        follower.start();
        reply(new ReadResult.Page(List.of(record("a", 1)), false, 2));
        reply(new ReadResult.Expired());
        reply(new ReadResult.Page(List.of(record("b", 8)), false, 9));

        assertEquals(List.of("newest ", "read 2", "newest ", "read 9"), calls);
        assertEquals(List.of("a@1", "snapshot [a] to 2", "b@8", "snapshot [b] to 9"), events);
    }

    /** Guards against repeated disconnect events and a lost read position during an outage of the store. */
    @Test
    void resumesAtSameOffsetAfterOutage() {
        follower.start();
        reply(new ReadResult.Page(List.of(), false, 2));
        for (int i = 0; i < 6; i++) {
            reply(new ReadResult.Unavailable("down"));
            time.advanceMillis(400);
        }
        reply(new ReadResult.Batch(List.of(record("a", 2)), 3));

        assertEquals(List.of("snapshot [] to 2", "disconnected", "reconnected", "a@2"), events);
        assertEquals(Set.of("newest ", "read 2"), new TreeSet<>(calls));
    }

    /** Guards against restarting the snapshot read from the beginning when one page fails. */
    @Test
    void failedPageIsReadAgain() {
        follower.start();
        reply(new ReadResult.Page(List.of(record("a", 3)), true, 5));
        reply(new ReadResult.Unavailable("reset"));
        time.advanceMillis(400);
        reply(new ReadResult.Page(List.of(record("b", 4)), false, 7));

        assertEquals(List.of("newest ", "newest a", "newest a", "read 5"), calls);
    }

    @Test
    void readsNothingAfterStop() {
        follower.start();
        follower.stop();
        reply(new ReadResult.Page(List.of(record("a", 3)), false, 5));
        time.advanceMillis(10_000);

        assertEquals(List.of(), events);
        assertEquals(1, calls.size());
    }

    private final class Listener implements StreamListener {
        @Override
        public void onRecord(KeyedRecord record) {
            events.add(record.key() + "@" + record.offset());
        }

        @Override
        public void onSnapshotComplete(Set<String> keys, long endOffset) {
            events.add("snapshot " + new TreeSet<>(keys) + " to " + endOffset);
        }

        @Override
        public void onStoreCameBack() {
            events.add("came back");
        }

        @Override
        public void onReconnected() {
            events.add("reconnected");
        }

        @Override
        public void onDisconnected(String _reason) {
            events.add("disconnected");
        }
    }
}
