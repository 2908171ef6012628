package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.CrashReport;
import org.dogwoodwinch.forwarding.CrashReport.BlamedSegment;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.SegmentGuard;
import org.dogwoodwinch.relay.SegmentNews;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the other instances of crashes, begins of answers and trials of prompt segments, and hears theirs. Each crash, and
 * the last begin of each segment, has a key of its own, so that no report replaces another one that still counts. Confined
 * to one event loop.
 */
final class SegmentSharing implements SegmentNews {

    private static final Logger log = LoggerFactory.getLogger(SegmentSharing.class);

    /** An instance that starts is told what was reported for as long as crashes are remembered. */
    private static final long TTL_MILLIS = 600_000;

    private static final int CRASH_FIELDS = 4;
    private static final int BEGIN_FIELDS = 4;
    private static final int TRIAL_FIELDS = 4;
    private static final int HELD_FIELDS = 6;
    private static final int LIFT_FIELDS = 3;
    private static final int BLAMED_FIELDS = 3;

    private enum Kind {
        CRASH,
        BEGIN,
        TRIAL,
        HELD,
        LIFT
    }

    private final RelayExchange exchange;

    SegmentSharing(RelayExchange exchange) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
    }

    /** Lets a guard hear the other instances. */
    void start(SegmentGuard guard) {
        exchange.beforeEachRound(guard::repeatHeld);
        exchange.subscribe(PeerTopic.CRASHING_SEGMENT, update -> {
            try {
                Packing.unpack(update.payload().toByteArray(), unpacker -> handle(update, unpacker, guard));
            } catch (IOException e) {
                LogEvent.of("segment_update_not_understood")
                        .with("peer", update.origin())
                        .with("error", e.getMessage())
                        .warn(log);
            }
        });
    }

    private static Kind handle(PeerUpdate update, MessageUnpacker unpacker, SegmentGuard guard) throws IOException {
        int fieldsCount = unpacker.unpackArrayHeader();
        Kind kind = Kind.valueOf(unpacker.unpackString());
        switch (kind) {
            case CRASH -> {
                Packing.checkFieldsCount(fieldsCount, CRASH_FIELDS);
                String targetStart = unpacker.unpackString();
                long ageMillis = unpacker.unpackLong() + update.ageMillis();
                List<BlamedSegment> blamed = Packing.readAll(unpacker, SegmentSharing::unpackBlamed);
                guard.onPeerCrash(new CrashReport(targetStart, blamed), ageMillis, update.origin());
            }
            case BEGIN -> {
                Packing.checkFieldsCount(fieldsCount, BEGIN_FIELDS);
                SegmentId segment = unpackSegment(unpacker);
                guard.onPeerBegin(segment, unpacker.unpackLong() + update.ageMillis(), update.origin());
            }
            case TRIAL -> {
                Packing.checkFieldsCount(fieldsCount, TRIAL_FIELDS);
                SegmentId segment = unpackSegment(unpacker);
                guard.onPeerTrial(segment, unpacker.unpackInt(), update.ageMillis());
            }
            case HELD -> {
                Packing.checkFieldsCount(fieldsCount, HELD_FIELDS);
                SegmentId segment = unpackSegment(unpacker);
                HeldSegment held =
                        new HeldSegment(segment, unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(), 0);
                guard.onPeerHeld(held, update.ageMillis(), update.origin());
            }
            case LIFT -> {
                Packing.checkFieldsCount(fieldsCount, LIFT_FIELDS);
                guard.onPeerLift(unpackSegment(unpacker), update.ageMillis(), update.origin());
            }
        }
        return kind;
    }

    private static BlamedSegment unpackBlamed(MessageUnpacker unpacker) throws IOException {
        Packing.expectFields(unpacker, BLAMED_FIELDS);
        return new BlamedSegment(unpackSegment(unpacker), unpacker.unpackBoolean());
    }

    private static SegmentId unpackSegment(MessageUnpacker unpacker) throws IOException {
        return new SegmentId(unpacker.unpackString(), unpacker.unpackString());
    }

    private static void packSegment(MessagePacker packer, SegmentId segment) throws IOException {
        packer.packString(segment.model());
        packer.packString(segment.id());
    }

    private void publish(Kind kind, String subject, Bytes payload) {
        exchange.publish(PeerTopic.CRASHING_SEGMENT, kind + " " + subject, payload, TTL_MILLIS);
    }

    @Override
    public void tellCrash(CrashReport report, long ageMillis) {
        Bytes payload = Packing.pack(report, (packer, value) -> {
            packer.packArrayHeader(CRASH_FIELDS);
            packer.packString(Kind.CRASH.name());
            packer.packString(value.targetStart());
            packer.packLong(ageMillis);
            Packing.writeAll(packer, value.blamed(), (each, blamed) -> {
                each.packArrayHeader(BLAMED_FIELDS);
                packSegment(each, blamed.segment());
                each.packBoolean(blamed.hasBegun());
            });
        });
        publish(Kind.CRASH, report.targetStart(), payload);
    }

    @Override
    public void tellBegin(SegmentId segment, long ageMillis) {
        publish(Kind.BEGIN, segment.toString(), packNumber(Kind.BEGIN, BEGIN_FIELDS, segment, ageMillis));
    }

    @Override
    public void tellTrial(SegmentId segment, int trialNumber) {
        publish(Kind.TRIAL, segment.toString(), packNumber(Kind.TRIAL, TRIAL_FIELDS, segment, trialNumber));
    }

    private static Bytes packNumber(Kind kind, int fieldsCount, SegmentId segment, long number) {
        return Packing.pack(segment, (packer, value) -> {
            packer.packArrayHeader(fieldsCount);
            packer.packString(kind.name());
            packSegment(packer, value);
            packer.packLong(number);
        });
    }

    @Override
    public void tellHeld(HeldSegment held) {
        Bytes payload = Packing.pack(held, (packer, value) -> {
            packer.packArrayHeader(HELD_FIELDS);
            packer.packString(Kind.HELD.name());
            packSegment(packer, value.segment());
            packer.packInt(value.crashesCount());
            packer.packInt(value.trialsCount());
            packer.packLong(value.lastCrashAgeMillis());
        });
        publish(Kind.HELD, held.segment().toString(), payload);
    }

    @Override
    public void tellLift(SegmentId segment) {
        Bytes payload = Packing.pack(segment, (packer, value) -> {
            packer.packArrayHeader(LIFT_FIELDS);
            packer.packString(Kind.LIFT.name());
            packSegment(packer, value);
        });
        publish(Kind.LIFT, segment.toString(), payload);
    }
}
