package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.OwnStreamBegins;
import org.dogwoodwinch.forwarding.StreamBegin;
import org.dogwoodwinch.forwarding.StreamBegins;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.StreamRecorders;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells other instances of the streams that begin at this one, and keeps what they tell. Confined to one event loop.
 *
 * <p>While the only version of a service is known, nobody is told of its streams. While it is not, two other instances are
 * told of each stream before its first event is passed on, and of those that began before as soon as that is so.
 *
 * <p>Failure: the first target of a new version is listed, and the streams that began while there was one version are known
 * only where they began. In a fleet that is larger than the number of instances that are asked, their callers are
 * refused until their time is over.
 *
 * <p>Failure: an instance does not see what ends the quiet, because it is cut off from the store, and tells nothing. An
 * instance that finds no record of a stream says so to all, and each tells its streams of that service then.
 */
final class StreamBeginTelling {

    private static final Logger log = LoggerFactory.getLogger(StreamBeginTelling.class);

    private static final int BEGIN_FIELDS = 4;
    private static final int BATCH_FIELDS = 2;
    private static final int GROUP_FIELDS = 3;
    private static final int STREAM_FIELDS = 2;

    /** How often begins are asked for at most; a lost request is followed by another one with the next take-up. */
    private static final long WANTED_PAUSE_MILLIS = 2_000;

    private final String ownName;
    private final RelayExchange exchange;
    private final Supplier<List<String>> otherNames;
    private final VersionHistorySharing versions;
    private final StreamBegins known;
    private final OwnStreamBegins own;
    private final LongSupplier lifetimeMillis;
    private final ObjIntConsumer<String> onTold;
    private final TimeSource time;
    private final Map<String, Long> wantedUntilMillis = new HashMap<>();
    private final Map<String, Long> lastWantedMillis = new HashMap<>();

    /**
     * Creates an object that tells and hears nothing before {@link #start}.
     *
     * @param ownName the name of this instance, not null
     * @param exchange the bus between the instances, not null
     * @param otherNames supplies the names of the other instances, not null
     * @param versions the versions that services have had, not null
     * @param known receives the streams of which this instance is told, not null
     * @param lifetimeMillis supplies the longest time for which a stream may be taken up, in milliseconds, not null
     * @param onTold receives numbers of streams by what became of them, not null
     * @param firstBatch the number of the first batch of streams, another one for each process
     * @param time the clock, not null
     */
    StreamBeginTelling(
            String ownName,
            RelayExchange exchange,
            Supplier<List<String>> otherNames,
            VersionHistorySharing versions,
            StreamBegins known,
            LongSupplier lifetimeMillis,
            ObjIntConsumer<String> onTold,
            long firstBatch,
            TimeSource time) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.otherNames = Objects.requireNonNull(otherNames, "otherNames");
        this.versions = Objects.requireNonNull(versions, "versions");
        this.known = Objects.requireNonNull(known, "known");
        this.own = new OwnStreamBegins(ownName, lifetimeMillis, firstBatch);
        this.lifetimeMillis = Objects.requireNonNull(lifetimeMillis, "lifetimeMillis");
        this.onTold = Objects.requireNonNull(onTold, "onTold");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to tell and to hear. */
    void start() {
        exchange.subscribe(PeerTopic.STREAM_BEGIN, this::onBegin);
        exchange.subscribe(PeerTopic.STREAM_BEGINS, this::onBegins);
        exchange.subscribe(PeerTopic.STREAM_BEGINS_KEPT, this::onKept);
        exchange.subscribe(PeerTopic.STREAM_BEGINS_WANTED, this::onWanted);
        exchange.beforeEachRound(this::tellDue);
    }

    /** Returns the names of all instances. */
    List<String> memberNames() {
        List<String> names = new ArrayList<>(otherNames.get());
        names.add(ownName);
        return names;
    }

    /**
     * Records a stream that begins at this instance, and tells two others if its service may have several versions.
     *
     * @param begin the stream and its version, not null
     */
    void recordBegin(StreamBegin begin) {
        StreamId stream = begin.stream();
        known.record(stream, begin.softwareVersion(), time.monotonicMillis());
        versions.update(stream.service());
        boolean isTold = stream.isRecordable() && isTold(stream.service());
        List<String> told = isTold ? StreamRecorders.toldOf(stream, memberNames(), ownName) : List.of();
        // An instance that hears nobody may be cut off, so it tells its streams again until they are acknowledged.
        own.record(begin, exchange.hearsOthers() ? told : List.of(), time.monotonicMillis());
        if (isTold) {
            tell(begin, told);
            LogEvent.of("stream_began")
                    .with("request", stream.requestId())
                    .with("service", stream.service())
                    .with("version", begin.softwareVersion())
                    .with("told", told)
                    .info(log);
        }
    }

    /**
     * Tells others of a stream at once.
     *
     * @param begin the stream and its version, not null
     * @param names the instances, not null
     */
    void tell(StreamBegin begin, List<String> names) {
        exchange.sendDirectly(PeerTopic.STREAM_BEGIN, encodeBegin(begin), names);
    }

    /**
     * Asks all instances to tell their streams of a service, because one is taken up that nobody who was asked knows.
     *
     * @param service the service, not null
     */
    void requestBegins(String service) {
        long nowMillis = time.monotonicMillis();
        Long lastMillis = lastWantedMillis.get(service);
        if (lastMillis == null || nowMillis - lastMillis >= WANTED_PAUSE_MILLIS) {
            LogEvent.of("stream_begins_wanted").with("service", service).info(log);
            recordWanted(service);
            exchange.publish(
                    PeerTopic.STREAM_BEGINS_WANTED,
                    service,
                    Packing.pack(service, MessagePacker::packString),
                    WANTED_PAUSE_MILLIS);
        }
    }

    private void recordWanted(String service) {
        long nowMillis = time.monotonicMillis();
        lastWantedMillis.put(service, nowMillis);
        wantedUntilMillis.put(service, nowMillis + lifetimeMillis.getAsLong());
    }

    private boolean isTold(String service) {
        return versions.maybeSeveral(service)
                || wantedUntilMillis.getOrDefault(service, Long.MIN_VALUE) > time.monotonicMillis();
    }

    private void tellDue() {
        Set<String> ownServices = own.services();
        ownServices.forEach(versions::update);
        Set<String> told = ownServices.stream().filter(this::isTold).collect(Collectors.toUnmodifiableSet());
        List<OwnStreamBegins.Batch> due = own.takeDue(told, this::memberNames, time.monotonicMillis());
        int count = 0;
        for (OwnStreamBegins.Batch batch : due) {
            exchange.sendDirectly(PeerTopic.STREAM_BEGINS, encodeBatch(batch), List.of(batch.name()));
            count += batch.begins().size();
        }
        int untoldCount = own.takeUntoldAtEnd();
        if (count > 0 || untoldCount > 0) {
            onTold.accept("sent", count);
            onTold.accept("left_out", untoldCount);
            LogEvent.of("stream_begins_told")
                    .with("services", told)
                    .with("streams", count)
                    .with("messages", due.size())
                    .with("waiting", own.waitingCount())
                    .with("leftOut", untoldCount)
                    .info(log);
        }
    }

    private void onBegin(PeerUpdate update) {
        try {
            Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, BEGIN_FIELDS);
                known.record(unpackStream(unpacker), unpacker.unpackString(), time.monotonicMillis());
                return update;
            });
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private void onBegins(PeerUpdate update) {
        try {
            long number = Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, BATCH_FIELDS);
                long batch = unpacker.unpackLong();
                Packing.readAll(unpacker, StreamBeginTelling::readGroup)
                        .forEach(group -> group.forEach(begin ->
                                known.record(begin.stream(), begin.softwareVersion(), time.monotonicMillis())));
                return batch;
            });
            exchange.sendDirectly(
                    PeerTopic.STREAM_BEGINS_KEPT,
                    Packing.pack(number, MessagePacker::packLong),
                    List.of(update.origin()));
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private void onKept(PeerUpdate update) {
        try {
            long number = Packing.unpack(update.payload().toByteArray(), MessageUnpacker::unpackLong);
            onTold.accept("kept", own.acknowledge(number, update.origin()));
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private void onWanted(PeerUpdate update) {
        try {
            recordWanted(Packing.unpack(update.payload().toByteArray(), MessageUnpacker::unpackString));
        } catch (IOException e) {
            logNotUnderstood(update, e);
        }
    }

    private static Bytes encodeBegin(StreamBegin begin) {
        return Packing.pack(begin, (packer, value) -> {
            packer.packArrayHeader(BEGIN_FIELDS);
            packStream(packer, value.stream());
            packer.packString(value.softwareVersion());
        });
    }

    /** Packs the streams in groups, because most streams of one instance share their service and version. */
    private static Bytes encodeBatch(OwnStreamBegins.Batch batch) {
        Map<Group, List<StreamBegin>> groups = batch.begins().stream().collect(Collectors.groupingBy(Group::of));
        return Packing.pack(batch.number(), (packer, number) -> {
            packer.packArrayHeader(BATCH_FIELDS);
            packer.packLong(number);
            Packing.writeAll(packer, groups.entrySet(), (groupPacker, group) -> {
                groupPacker.packArrayHeader(GROUP_FIELDS);
                groupPacker.packString(group.getKey().service());
                groupPacker.packString(group.getKey().softwareVersion());
                Packing.writeAll(groupPacker, group.getValue(), (streamPacker, begin) -> {
                    streamPacker.packArrayHeader(STREAM_FIELDS);
                    streamPacker.packString(begin.stream().owner());
                    streamPacker.packString(begin.stream().requestId());
                });
            });
        });
    }

    private static List<StreamBegin> readGroup(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, GROUP_FIELDS);
        String service = unpacker.unpackString();
        String softwareVersion = unpacker.unpackString();
        return Packing.readAll(unpacker, streamUnpacker -> {
            Packing.expectFields(streamUnpacker, STREAM_FIELDS);
            return new StreamBegin(
                    new StreamId(streamUnpacker.unpackString(), service, streamUnpacker.unpackString()),
                    softwareVersion);
        });
    }

    /** Packs the fields of a stream that begins and questions have in common. */
    static void packStream(MessagePacker packer, StreamId stream) throws IOException {
        packer.packString(stream.owner());
        packer.packString(stream.service());
        packer.packString(stream.requestId());
    }

    /** Unpacks what {@link #packStream} packs. */
    static StreamId unpackStream(MessageUnpacker unpacker) throws IOException {
        return new StreamId(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
    }

    /** Logs a message about begins of streams that cannot be decoded. */
    static void logNotUnderstood(PeerUpdate update, IOException error) {
        LogEvent.of("stream_begin_not_understood")
                .with("peer", update.origin())
                .with("error", error.getMessage())
                .warn(log);
    }

    private record Group(String service, String softwareVersion) {
        static Group of(StreamBegin begin) {
            return new Group(begin.stream().service(), begin.softwareVersion());
        }
    }
}
