package org.dogwoodwinch.peer;

import java.io.IOException;
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
import org.dogwoodwinch.follow.FollowListener;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The instances as they announce themselves in a keyed stream of the platform's store. Used on one event loop alone.
 *
 * <p>Each writes its record anew now and then, and drops it when it stops; one that was killed is believed in until its
 * record has not been renewed for several intervals. Believing in it too long costs failed connections, no more.
 */
public final class MemberList implements FollowListener {

    /** The stream's name in the store. */
    public static final String TOPIC = "keyed.instances";

    private static final Logger log = LoggerFactory.getLogger(MemberList.class);
    private static final int FIELDS = 4;

    /** Renewals that may be missed: a store that is away for some seconds loses one or two. */
    private static final int MEMBER_TIMEOUT_INTERVALS = 3;

    /** This instance doubts that the others count on it before they cease to: its last record may have come late to them. */
    private static final int ANNOUNCEMENT_VALID_INTERVALS = 2;

    private final String ownName;
    private final KeyedWriter writer;
    private final TimeSource time;
    private final long renewMillis;
    private final Map<String, Announcement> announcements = new HashMap<>();
    private boolean leaving;
    private boolean snapshotRead;
    private boolean everAnnounced;
    private boolean lastAnnouncementStored;
    private boolean storeReachable = true;
    private long lastAnnouncementMillis;
    private long storeHealthySinceMillis;
    private int mostSeenCount = 1;

    /**
     * Creates a list that knows nobody.
     *
     * @param ownName this instance's name, not null
     * @param writer writes the stream, not null
     * @param time the clock and timers, not null
     * @param renewMillis the time between two records of one instance
     */
    public MemberList(String ownName, KeyedWriter writer, TimeSource time, long renewMillis) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.time = Objects.requireNonNull(time, "time");
        this.renewMillis = renewMillis;
    }

    /**
     * Announces this instance from now on.
     *
     * @param self where the others reach it, not null
     */
    public void start(PeerMember self) {
        if (leaving) {
            return;
        }
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
        time.schedule(renewMillis, () -> start(self));
    }

    /** Drops this instance's record, and announces it no more. */
    public void leave() {
        leaving = true;
        writer.put(ownName, Optional.empty())
                .thenAccept(written -> LogEvent.of("member_left")
                        .with("member", ownName)
                        .with("written", written)
                        .info(log));
    }

    /**
     * Returns the other instances.
     *
     * @return those that announced themselves of late
     */
    public List<PeerMember> others() {
        long oldestMillis = time.monotonicMillis() - MEMBER_TIMEOUT_INTERVALS * renewMillis;
        return announcements.values().stream()
                .filter(each -> each.receivedMillis >= oldestMillis)
                .map(Announcement::member)
                .toList();
    }

    /**
     * Returns the instances that a thing which one of them may use alone is dealt to: those that count on each other.
     *
     * <p>Failure: while the store is away no record is renewed, all others lapse, and each instance would deal itself
     * everything. Whoever was heard stays until the store has taken this instance's records and was followed for as long as
     * an instance is believed in. And an instance whose own records are not taken is given up by the others: it has to know
     * that before they act on it.
     *
     * @return their names, this one's among them; empty where this one cannot be sure that the others count on it
     */
    public Optional<Set<String>> countedOn() {
        long nowMillis = time.monotonicMillis();
        if (!snapshotRead
                || leaving
                || !everAnnounced
                || nowMillis - lastAnnouncementMillis >= ANNOUNCEMENT_VALID_INTERVALS * renewMillis) {
            return Optional.empty();
        }
        if (lastAnnouncementStored && storeReachable) {
            announcements
                    .values()
                    .removeIf(each -> nowMillis - Math.max(each.receivedMillis, storeHealthySinceMillis)
                            > MEMBER_TIMEOUT_INTERVALS * renewMillis);
        }
        Set<String> names = new HashSet<>(announcements.keySet());
        names.add(ownName);
        return Optional.of(names);
    }

    private void updateStoreHealth(boolean announcementStored, boolean streamReachable) {
        if (announcementStored && streamReachable && !(lastAnnouncementStored && storeReachable)) {
            storeHealthySinceMillis = time.monotonicMillis();
        }
        lastAnnouncementStored = announcementStored;
        storeReachable = streamReachable;
    }

    /**
     * Returns how many instances shares of a common bound are dealt out to.
     *
     * <p>Failure: while the store is away nobody's record is renewed, and each instance would take itself for the only one
     * and the whole of each bound for its own. What was seen once is dealt to until this process ends.
     *
     * @return the most instances that were believed in at once, this one included; empty before the first full reading
     */
    public OptionalInt mostSeenCount() {
        return snapshotRead ? OptionalInt.of(mostSeenCount) : OptionalInt.empty();
    }

    @Override
    public void record(KeyedRecord record) {
        if (record.key().equals(ownName)) {
            return;
        }
        Optional<PeerMember> member = record.value().flatMap(value -> decode(record.key(), value));
        if (member.isEmpty()) {
            announcements.remove(record.key());
        } else {
            announcements.put(record.key(), new Announcement(member.get(), time.monotonicMillis()));
            mostSeenCount = Math.max(mostSeenCount, others().size() + 1);
        }
        LogEvent.of("member_heard")
                .with("member", record.key())
                .with(
                        "address",
                        member.map(each -> each.host() + ":" + each.peerPort()).orElse("left"))
                .with("offset", record.offset())
                .debug(log);
    }

    @Override
    public void readWhole(Set<String> keys, long _endOffset) {
        announcements.keySet().retainAll(keys);
        snapshotRead = true;
    }

    @Override
    public void regained() {
        updateStoreHealth(lastAnnouncementStored, true);
        LogEvent.of("store_regained").with("stream", TOPIC).info(log);
    }

    @Override
    public void lost(String reason) {
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
