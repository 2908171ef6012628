package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The instances of the fleet, as they announce themselves in a keyed stream of the platform's store. Confined to one
 * event loop.
 *
 * <p>Each instance renews its record at intervals, and deletes it when it stops. An instance that was killed stays
 * listed until its record has not been renewed for several intervals; this costs failed connections and nothing else.
 */
public final class MemberList implements StreamListener {

    /** The stream's name in the store. */
    public static final String TOPIC = "keyed.instances";

    private static final Logger log = LoggerFactory.getLogger(MemberList.class);
    private static final int FIELDS = 4;

    /**
     * The intervals after which a record that was not renewed expires; a store outage of some seconds loses one or two
     * renewals.
     */
    private static final int MEMBER_TIMEOUT_INTERVALS = 3;

    /**
     * The intervals after which this instance no longer relies on its last stored announcement. They are fewer than
     * those after which the others expire it, since it may have reached them late.
     */
    private static final int ANNOUNCEMENT_VALID_INTERVALS = 2;

    private final String ownName;
    private final KeyedWriter writer;
    private final TimeSource time;
    private final long renewMillis;
    private final Map<String, Announcement> announcements = new HashMap<>();
    private boolean leaving;
    private boolean snapshotRead;
    private boolean readingCopy;
    private Optional<PeerMember> self = Optional.empty();
    private boolean everAnnounced;
    private boolean lastAnnouncementStored;
    private boolean storeReachable = true;
    private long lastAnnouncementMillis;
    private long storeHealthySinceMillis;
    private int maxMemberCount = 1;
    private List<PeerMember> unexpired = List.of();
    private long unexpiredUntilMillis = Long.MIN_VALUE;
    private Optional<Set<String>> assigned = Optional.empty();

    /**
     * Creates a list without members.
     *
     * @param ownName this instance's name, not null
     * @param writer writes the stream, not null
     * @param time the clock and timers, not null
     * @param renewMillis the renewal interval of an instance's record
     */
    public MemberList(String ownName, KeyedWriter writer, TimeSource time, long renewMillis) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.time = Objects.requireNonNull(time, "time");
        this.renewMillis = renewMillis;
    }

    /**
     * Announces this instance, and renews the announcement at each interval.
     *
     * @param self the name, address and link of this instance, not null
     */
    public void start(PeerMember self) {
        if (leaving) {
            return;
        }
        this.self = Optional.of(self);
        announce(self);
        time.schedule(renewMillis, () -> start(self));
    }

    /** Announces this instance at once, because the store may have lost its last announcement. */
    public void announceAgain() {
        self.filter(_self -> !leaving).ifPresent(each -> {
            LogEvent.of("member_announced_again").with("member", each.name()).info(log);
            announce(each);
        });
    }

    private void announce(PeerMember self) {
        long startMillis = time.monotonicMillis();
        writer.put(self.name(), Optional.of(encode(self))).thenAccept(written -> {
            if (written) {
                everAnnounced = true;
                lastAnnouncementMillis = startMillis;
            } else {
                LogEvent.of("member_not_announced").with("member", self.name()).info(log);
            }
            updateStoreHealth(written, storeReachable);
        });
    }

    /** Deletes this instance's record and stops announcing it. */
    public void leave() {
        leaving = true;
        writer.put(ownName, Optional.empty())
                .thenAccept(written -> LogEvent.of("member_left")
                        .with("member", ownName)
                        .with("written", written)
                        .info(log));
    }

    /**
     * Returns the other instances. The same list is returned until a member joins, changes, leaves or expires, so that
     * a caller can tell at no cost that nothing has changed.
     *
     * @return those whose announcement has not expired, immutable
     */
    public List<PeerMember> others() {
        long nowMillis = time.monotonicMillis();
        if (nowMillis > unexpiredUntilMillis) {
            collectUnexpired(nowMillis);
        }
        return unexpired;
    }

    private void collectUnexpired(long nowMillis) {
        long timeoutMillis = MEMBER_TIMEOUT_INTERVALS * renewMillis;
        List<PeerMember> members = new ArrayList<>();
        unexpiredUntilMillis = Long.MAX_VALUE;
        for (Announcement each : announcements.values()) {
            if (nowMillis - each.receivedMillis <= timeoutMillis) {
                members.add(each.member);
                unexpiredUntilMillis = Math.min(unexpiredUntilMillis, each.receivedMillis + timeoutMillis);
            }
        }
        if (!unexpired.equals(members)) {
            unexpired = List.copyOf(members);
        }
    }

    private void invalidateOthers() {
        assigned = Optional.empty();
        unexpiredUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Returns the instances among which exclusive resources are divided: those that all count each other as members.
     *
     * <p>Failure: while the store is unavailable no record is renewed, all other instances expire, and each instance
     * would assign every resource to itself. A known instance is therefore kept until the store has accepted this
     * instance's records and the stream has been readable for as long as a record takes to expire. Moreover, an
     * instance whose own records are not stored is expired by the others; it has to stop relying on its membership
     * before they act on that.
     *
     * @return their names, including this instance's; empty if this instance cannot be sure that the others count it as
     *     a member
     */
    public Optional<Set<String>> assignmentMembers() {
        long nowMillis = time.monotonicMillis();
        if (!snapshotRead
                || leaving
                || !everAnnounced
                || nowMillis - lastAnnouncementMillis >= ANNOUNCEMENT_VALID_INTERVALS * renewMillis) {
            return Optional.empty();
        }
        if (lastAnnouncementStored && storeReachable) {
            long oldestMillis = nowMillis - MEMBER_TIMEOUT_INTERVALS * renewMillis;
            if (storeHealthySinceMillis < oldestMillis
                    && announcements.values().removeIf(each -> each.receivedMillis < oldestMillis)) {
                assigned = Optional.empty();
            }
        }
        if (assigned.isEmpty()) {
            Set<String> names = new HashSet<>(announcements.keySet());
            names.add(ownName);
            assigned = Optional.of(Set.copyOf(names));
        }
        return assigned;
    }

    private void updateStoreHealth(boolean announcementStored, boolean streamReachable) {
        if (announcementStored && streamReachable && !(lastAnnouncementStored && storeReachable)) {
            storeHealthySinceMillis = time.monotonicMillis();
        }
        lastAnnouncementStored = announcementStored;
        storeReachable = streamReachable;
    }

    /**
     * Returns the number of instances among which a shared limit is divided.
     *
     * <p>Failure: while the store is unavailable no record is renewed, and each instance would consider itself the only
     * one and take the whole of each limit. The maximum therefore never decreases while this process runs.
     *
     * @return the maximum number of instances that were listed at the same time, including this one; empty before the
     *     first snapshot
     */
    public OptionalInt maxMemberCount() {
        return snapshotRead ? OptionalInt.of(maxMemberCount) : OptionalInt.empty();
    }

    @Override
    public void onRecord(KeyedRecord record) {
        if (record.key().equals(ownName)) {
            return;
        }
        Optional<PeerMember> member = record.value().flatMap(value -> decode(record.key(), value));
        if (member.isEmpty()) {
            announcements.remove(record.key());
            invalidateOthers();
        } else {
            Announcement previous =
                    announcements.put(record.key(), new Announcement(member.get(), time.monotonicMillis()));
            if (previous == null || !unexpired.contains(member.get())) {
                invalidateOthers();
            }
            maxMemberCount = Math.max(maxMemberCount, others().size() + 1);
        }
        LogEvent.of("member_heard")
                .with("member", record.key())
                .with(
                        "address",
                        member.map(each -> each.host() + ":" + each.peerPort()).orElse("left"))
                .with("offset", LogPosition.describe(record.offset()))
                .debug(log);
    }

    @Override
    public void onSnapshotComplete(Set<String> keys, long _endOffset) {
        if (!readingCopy) {
            announcements.keySet().retainAll(keys);
        }
        readingCopy = false;
        invalidateOthers();
        snapshotRead = true;
    }

    /** A member that the copy lacks announces itself again, or expires. */
    @Override
    public void onStoreCameBack() {
        readingCopy = true;
    }

    @Override
    public void onReconnected() {
        updateStoreHealth(lastAnnouncementStored, true);
        LogEvent.of("store_regained").with("stream", TOPIC).info(log);
    }

    @Override
    public void onDisconnected(String reason) {
        updateStoreHealth(lastAnnouncementStored, false);
        LogEvent.of("store_lost").with("stream", TOPIC).with("reason", reason).warn(log);
    }

    private static Bytes encode(PeerMember member) {
        return Packing.pack(member, (packer, value) -> {
            packer.packArrayHeader(FIELDS);
            packer.packString(value.host());
            packer.packInt(value.peerPort());
            packer.packString(value.dataCentre());
            packer.packDouble(value.linkMbps());
        });
    }

    private static Optional<PeerMember> decode(String name, Bytes value) {
        try {
            return Optional.of(Packing.unpack(value.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                return new PeerMember(
                        name,
                        unpacker.unpackString(),
                        unpacker.unpackInt(),
                        unpacker.unpackString(),
                        unpacker.unpackDouble());
            }));
        } catch (IOException e) {
            LogEvent.of("member_not_understood")
                    .with("member", name)
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    private record Announcement(PeerMember member, long receivedMillis) {}
}
