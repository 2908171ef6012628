package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class MemberListTest {

    private static final long RENEW_MILLIS = 15_000;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final Written written = new Written();
    private final MemberList members = new MemberList("i0", written, time, RENEW_MILLIS);
    private long nextOffset;

    private void hear(String name) {
        MemberList other = new MemberList(name, written, time, RENEW_MILLIS);
        other.start(new PeerMember(name, "10.0.0.1", 7_000, "dc"));
        members.record(new KeyedRecord(name, nextOffset++, written.last));
    }

    private List<String> names() {
        return members.others().stream().map(PeerMember::name).sorted().toList();
    }

    @Test
    void membersAreBelievedForThreeIntervals() {
        hear("i1");
        time.advanceMillis(2 * RENEW_MILLIS);
        hear("i2");

        assertEquals(List.of("i1", "i2"), names());
        time.advanceMillis(RENEW_MILLIS + 1);
        assertEquals(List.of("i2"), names());
    }

    @Test
    void aMemberThatLeavesIsForgotten() {
        hear("i1");
        members.record(new KeyedRecord("i1", nextOffset++, Optional.empty()));

        assertEquals(List.of(), names());
    }

    @Test
    void whatCannotBeReadIsNoMember() {
        Bytes strange = Bytes.of("?".getBytes(StandardCharsets.UTF_8));
        members.record(new KeyedRecord("i1", nextOffset++, Optional.of(strange)));

        assertEquals(List.of(), names());
    }

    /** Guards against taking a part of a shared limit before the other instances are known. */
    @Test
    void beforeTheFirstReadingTheCountIsUnknown() {
        hear("i1");

        assertEquals(OptionalInt.empty(), members.mostSeenCount());
        members.readWhole(Set.of("i1"), 1);
        assertEquals(OptionalInt.of(2), members.mostSeenCount());
    }

    /**
     * Guards against an instance that takes the whole retry budget because the others expired during a store outage.
     */
    @Test
    void anOutageOfTheStoreDoesNotMakeAnInstanceTheOnlyOne() {
        Set<String> keys = new HashSet<>();
        for (int i = 1; i < 58; i++) {
            hear("i" + i);
            keys.add("i" + i);
        }
        members.readWhole(keys, nextOffset);

        time.advanceMillis(60_000);

        assertEquals(List.of(), names());
        hear("i1");
        assertEquals(OptionalInt.of(58), members.mostSeenCount());
    }

    /**
     * Guards against an instance that considers itself the only one because no record was renewed during a store
     * outage.
     */
    @Test
    void throughAnOutageOfTheStoreTheSameInstancesAreCountedOn() {
        begin("i1", "i2");

        written.taken = false;
        members.lost("timeout");
        time.advanceMillis(29_999 - RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1", "i2")), members.countedOn());
        time.advanceMillis(45_000);
        assertEquals(Optional.empty(), members.countedOn(), "the others have ceased to count on it");

        written.taken = true;
        members.regained();
        time.advanceMillis(RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1", "i2")), members.countedOn());
    }

    @Test
    void whoIsNotRenewedWhileTheStoreIsThereIsCountedOnNoMore() {
        begin("i1", "i2");
        for (int i = 0; i < 4; i++) {
            time.advanceMillis(RENEW_MILLIS);
            hear("i1");
        }

        assertEquals(Optional.of(Set.of("i0", "i1")), members.countedOn());
    }

    @Test
    void whoLeavesCountsOnNobody() {
        begin("i1");
        members.leave();

        assertEquals(Optional.empty(), members.countedOn());
    }

    @Test
    void beforeItsOwnRecordIsTakenAnInstanceCountsOnNobody() {
        written.taken = false;
        begin("i1");
        assertEquals(Optional.empty(), members.countedOn());

        written.taken = true;
        time.advanceMillis(RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1")), members.countedOn());
    }

    private void begin(String... others) {
        for (String other : others) {
            hear(other);
        }
        members.readWhole(Set.of(others), nextOffset);
        members.start(new PeerMember("i0", "10.0.0.1", 7_000, "dc"));
    }

    private static final class Written implements KeyedWriter {

        private Optional<Bytes> last = Optional.empty();
        private boolean taken = true;

        @Override
        public CompletionStage<Boolean> put(String _key, Optional<Bytes> value) {
            last = value;
            return CompletableFuture.completedFuture(taken);
        }
    }
}
