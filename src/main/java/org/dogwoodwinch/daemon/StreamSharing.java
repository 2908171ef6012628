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

/** Lets one instance of a data centre read the streams of the platform's store and tell the others. */
final class StreamSharing {

    private static final Logger log = LoggerFactory.getLogger(StreamSharing.class);

    /** A word is of use to those that hear it, and to a newcomer for a moment. */
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
     * Makes a stream one that is told.
     *
     * @param name its name, not null
     * @param platformStream reads it from the store, not null
     * @param policy the times, not null
     * @return the stream to follow
     */
    ReplicatedStream share(String name, KeyedStream platformStream, ReplicaPolicy policy) {
        return share(name, platformStream, policy, _record -> new Object());
    }

    /**
     * Makes a stream one that is told, but for the records that say again what the one before said of its key.
     *
     * @param name its name, not null
     * @param platformStream reads it from the store, not null
     * @param policy the times, not null
     * @param content what a record says; two that say the same are equal, not null
     * @return the stream to follow
     */
    ReplicatedStream share(
            String name, KeyedStream platformStream, ReplicaPolicy policy, Function<KeyedRecord, Object> content) {
        ReplicatedStream.Publisher publisher = new ReplicatedStream.Publisher() {
            @Override
            public void publish(StreamUpdate word, boolean ownReading) {
                exchange.publishImmediately(PeerTopic.STREAM, word.stream(), encode(word), TTL_MILLIS, ownReading);
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

    /** All that is known here, for an instance that has just been connected to and may know nothing. */
    private Map<String, Bytes> snapshots() {
        Map<String, Bytes> payloads = new HashMap<>();
        streams.forEach((name, stream) -> stream.snapshot().ifPresent(snapshot -> payloads.put(name, encode(snapshot))));
        return payloads;
    }

    private void onStreamUpdate(PeerUpdate peerUpdate) {
        ReplicatedStream stream = streams.get(peerUpdate.key());
        if (stream == null) {
            return;
        }
        try {
            StreamMessage message = Packing.unpack(peerUpdate.payload().toByteArray(), StreamMessage::read);
            StreamUpdate update =
                    message.toUpdate(peerUpdate.key(), peerUpdate.ageBounded() ? peerUpdate.ageMillis() : StreamUpdate.UNKNOWN_AGE_MILLIS);
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

    /** A word as a message carries it. */
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

        /** Offsets out of order would take whoever believes them back, or let them pass over records. */
        private void validate() throws IOException {
            if (firstOffset < 0 || firstOffset > nextOffset) {
                throw new IOException("records from " + firstOffset + " to " + nextOffset);
            }
            long minOffset = snapshot ? 0 : firstOffset;
            for (KeyedRecord record : records) {
                if (record.offset() < minOffset || (!snapshot && record.offset() >= nextOffset)) {
                    throw new IOException("a record at " + record.offset());
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
