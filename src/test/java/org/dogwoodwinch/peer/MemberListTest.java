package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class MemberListTest {

    private static final long RENEW_MILLIS = 15_000;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final FakeWriter writer = new FakeWriter();
    private final MemberList members = new MemberList("i0", writer, time, RENEW_MILLIS);
    private long nextOffset;

    private void announce(String name) {
        MemberList other = new MemberList(name, writer, time, RENEW_MILLIS);
        other.start(new PeerMember(name, "10.0.0.1", 7_000, "dc"));
        members.onRecord(new KeyedRecord(name, nextOffset++, writer.lastValue));
    }

    private List<String> names() {
        return members.others().stream().map(PeerMember::name).sorted().toList();
    }

    @Test
    void membersExpireAfterThreeIntervals() {
        announce("i1");
        time.advanceMillis(2 * RENEW_MILLIS);
        announce("i2");

        assertEquals(List.of("i1", "i2"), names());
        time.advanceMillis(RENEW_MILLIS + 1);
        assertEquals(List.of("i2"), names());
    }

    @Test
    void leavingMemberIsRemoved() {
        announce("i1");
        members.onRecord(new KeyedRecord("i1", nextOffset++, Optional.empty()));

        assertEquals(List.of(), names());
    }

    @Test
    void malformedRecordIsIgnored() {
        Bytes malformed = Bytes.of("?".getBytes(StandardCharsets.UTF_8));
        members.onRecord(new KeyedRecord("i1", nextOffset++, Optional.of(malformed)));

        assertEquals(List.of(), names());
    }

    /** Failure: a copy of the store lacks members that have not announced themselves again, and limits are divided anew. */
    @Test
    void memberThatCopyLacksStaysUntilItExpires() {
        announce("i1");
        announce("i2");
        members.onStoreCameBack();
        announce("i1");
        members.onSnapshotComplete(Set.of("i1"), LogPosition.of(1, 1));
        assertEquals(List.of("i1", "i2"), names());

        time.advanceMillis(3 * RENEW_MILLIS + 1);
        assertEquals(List.of(), names());
    }

    @Test
    void instanceAnnouncesItselfAgainAtOnce() {
        members.start(new PeerMember("i0", "10.0.0.1", 7_000, "dc"));
        writer.lastValue = Optional.empty();

        members.announceAgain();

        assertTrue(writer.lastValue.isPresent());
    }

    /** Guards against taking a part of a shared limit before the other instances are known. */
    @Test
    void countIsUnknownBeforeFirstSnapshot() {
        announce("i1");

        assertEquals(OptionalInt.empty(), members.maxMemberCount());
        members.onSnapshotComplete(Set.of("i1"), 1);
        assertEquals(OptionalInt.of(2), members.maxMemberCount());
    }

    /** Guards against each of 58 instances taking the whole slack of the retry budget after a store outage. */
    @Test
    void maxCountSurvivesStoreOutage() {
        Set<String> keys = new HashSet<>();
        for (int i = 1; i < 58; i++) {
            announce("i" + i);
            keys.add("i" + i);
        }
        members.onSnapshotComplete(keys, nextOffset);

        time.advanceMillis(60_000);

        assertEquals(List.of(), names());
        announce("i1");
        assertEquals(OptionalInt.of(58), members.maxMemberCount());
    }

    /**
     * Guards against an instance that considers itself the only one because no record was renewed during a store
     * outage.
     */
    @Test
    void assignmentMembersSurviveStoreOutage() {
        startWith("i1", "i2");

        writer.accepts = false;
        members.onDisconnected("timeout");
        time.advanceMillis(29_999 - RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1", "i2")), members.assignmentMembers());
        time.advanceMillis(45_000);
        assertEquals(Optional.empty(), members.assignmentMembers(), "the other instances have expired this one");

        writer.accepts = true;
        members.onReconnected();
        time.advanceMillis(RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1", "i2")), members.assignmentMembers());
    }

    @Test
    void expiredMemberIsExcludedWhileStoreIsAvailable() {
        startWith("i1", "i2");
        for (int i = 0; i < 4; i++) {
            time.advanceMillis(RENEW_MILLIS);
            announce("i1");
        }

        assertEquals(Optional.of(Set.of("i0", "i1")), members.assignmentMembers());
    }

    @Test
    void noAssignmentMembersAfterLeaving() {
        startWith("i1");
        members.leave();

        assertEquals(Optional.empty(), members.assignmentMembers());
    }

    @Test
    void noAssignmentMembersBeforeOwnRecordIsStored() {
        writer.accepts = false;
        startWith("i1");
        assertEquals(Optional.empty(), members.assignmentMembers());

        writer.accepts = true;
        time.advanceMillis(RENEW_MILLIS);
        assertEquals(Optional.of(Set.of("i0", "i1")), members.assignmentMembers());
    }

    private void startWith(String... others) {
        for (String other : others) {
            announce(other);
        }
        members.onSnapshotComplete(Set.of(others), nextOffset);
        members.start(new PeerMember("i0", "10.0.0.1", 7_000, "dc"));
    }

    private static final class FakeWriter implements KeyedWriter {

        private Optional<Bytes> lastValue = Optional.empty();
        private boolean accepts = true;

        @Override
        public CompletionStage<Boolean> put(String _key, Optional<Bytes> value) {
            lastValue = value;
            return CompletableFuture.completedFuture(accepts);
        }
    }
}
