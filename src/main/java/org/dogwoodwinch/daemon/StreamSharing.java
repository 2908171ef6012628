package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.follow.ReplicatedStream;
import org.dogwoodwinch.follow.StreamUpdate;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Shares the streams of the platform's store: one instance of a data centre reads them and publishes the updates. */
final class StreamSharing {

    private static final Logger log = LoggerFactory.getLogger(StreamSharing.class);

    /** An update is of use to its receivers, and to an instance that connects shortly afterwards. */
    private static final long TTL_MILLIS = 1_000;

    private final RelayExchange exchange;
    private final TimeSource time;
    private final Map<String, ReplicatedStream> streams = new HashMap<>();

    StreamSharing(RelayExchange exchange, TimeSource time) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.STREAM, this::onStreamUpdate);
        exchange.addStateTransfer(PeerTopic.STREAM, this::snapshots, TTL_MILLIS);
    }

    /**
     * Shares a stream with the other instances.
     *
     * @param name the stream's name, not null
     * @param platformStream reads the stream from the store, not null
     * @param policy the time limits, not null
     * @return the stream to follow
     */
    ReplicatedStream share(String name, KeyedStream platformStream, ReplicaPolicy policy) {
        return share(name, platformStream, policy, _record -> new Object());
    }

    /**
     * Shares a stream with the other instances, except for records that repeat the content of the previous record of
     * the same key.
     *
     * @param name the stream's name, not null
     * @param platformStream reads the stream from the store, not null
     * @param policy the time limits, not null
     * @param content extracts the content of a record; equal contents are not published again, not null
     * @return the stream to follow
     */
    ReplicatedStream share(
            String name, KeyedStream platformStream, ReplicaPolicy policy, Function<KeyedRecord, Object> content) {
        ReplicatedStream.Publisher publisher = new ReplicatedStream.Publisher() {
            @Override
            public void publish(StreamUpdate update, boolean ownRead) {
                exchange.publishImmediately(PeerTopic.STREAM, update.stream(), encode(update), TTL_MILLIS, ownRead);
            }

            @Override
            public void requestSnapshot() {
                exchange.requestState();
            }
        };
        ReplicatedStream replicated =
                new ReplicatedStream(name, platformStream, policy, time, exchange::ownRank, publisher, content);
        streams.put(name, replicated);
        return replicated;
    }

    /**
     * Begins a new era of the store in all streams.
     *
     * @param era the era that the store stated
     */
    void beginEra(long era) {
        streams.values().forEach(stream -> stream.beginEra(era, "store"));
    }

    /**
     * Returns the current snapshots, for an instance that a connection was just opened to and that may have no state.
     */
    private Map<String, Bytes> snapshots() {
        Map<String, Bytes> payloads = new HashMap<>();
        streams.forEach(
                (name, stream) -> stream.snapshot().ifPresent(snapshot -> payloads.put(name, encode(snapshot))));
        return payloads;
    }

    private void onStreamUpdate(PeerUpdate peerUpdate) {
        ReplicatedStream stream = streams.get(peerUpdate.key());
        if (stream == null) {
            return;
        }
        try {
            StreamMessage message = Packing.unpack(peerUpdate.payload().toByteArray(), StreamMessage::read);
            StreamUpdate update = message.toUpdate(
                    peerUpdate.key(),
                    peerUpdate.ageBounded() ? peerUpdate.ageMillis() : StreamUpdate.UNKNOWN_AGE_MILLIS);
            if (exchange.isInOwnDataCentre(peerUpdate.origin())) {
                stream.onUpdate(update, exchange.isPredecessor(peerUpdate.origin()));
            } else {
                stream.onUpdateFromOtherDataCentre(update);
            }
        } catch (IOException e) {
            LogEvent.of("stream_word_not_understood")
                    .with("peer", peerUpdate.origin())
                    .with("stream", peerUpdate.key())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static Bytes encode(StreamUpdate update) {
        return Packing.pack(update, StreamMessage::write);
    }

    /** A stream update as encoded in a message. */
    private record StreamMessage(
            boolean snapshot, long firstOffset, long nextOffset, long contactAgeMillis, List<KeyedRecord> records) {

        static void write(MessagePacker packer, StreamUpdate update) throws IOException {
            packer.packBoolean(update.isSnapshot());
            packer.packLong(update.firstOffset());
            packer.packLong(update.nextOffset());
            packer.packLong(update.contactAgeMillis());
            Packing.writeAll(packer, update.records(), StreamMessage::writeRecord);
        }

        static StreamMessage read(MessageUnpacker unpacker) throws IOException {
            StreamMessage message = new StreamMessage(
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    Packing.readAll(unpacker, StreamMessage::readRecord));
            message.validate();
            return message;
        }

        StreamUpdate toUpdate(String stream, long ageMillis) {
            return new StreamUpdate(
                    stream, snapshot, records, firstOffset, nextOffset, Math.max(0, contactAgeMillis) + ageMillis);
        }

        /** Offsets out of order would set the receiver back, or make it skip records. */
        private void validate() throws IOException {
            if (firstOffset < 0 || firstOffset > nextOffset) {
                throw new IOException("invalid offset range: first " + firstOffset + ", next " + nextOffset);
            }
            long minOffset = snapshot ? 0 : firstOffset;
            for (KeyedRecord record : records) {
                if (record.offset() < minOffset || (!snapshot && record.offset() >= nextOffset)) {
                    throw new IOException("record offset out of order or range: " + record.offset());
                }
                minOffset = snapshot ? 0 : record.offset() + 1;
            }
        }

        private static void writeRecord(MessagePacker packer, KeyedRecord record) throws IOException {
            packer.packString(record.key());
            packer.packLong(record.offset());
            packer.packBoolean(record.value().isPresent());
            Packing.writeBytes(packer, record.value().orElse(Bytes.EMPTY));
        }

        private static KeyedRecord readRecord(MessageUnpacker unpacker) throws IOException {
            String key = unpacker.unpackString();
            long offset = unpacker.unpackLong();
            boolean present = unpacker.unpackBoolean();
            Bytes value = Packing.readBytes(unpacker);
            return new KeyedRecord(key, offset, present ? Optional.of(value) : Optional.empty());
        }
    }
}
